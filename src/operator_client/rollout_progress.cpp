#include "operator_client/rollout_progress.h"

#include "operator_client/json_fields.h"

namespace parsleyglade {

bool rollout_progress::isComplete() const
{
    return entryHosts > 0 && pending.empty();
}

std::string rollout_progress::text(revision_number revision) const
{
    constexpr std::size_t barWidth = 20;
    constexpr std::size_t maximumNamedHosts = 3;
    const std::size_t filled = entryHosts == 0 ? 0 : inForce * barWidth / entryHosts;
    std::string line = "[" + std::string(filled, '#') + std::string(barWidth - filled, '.') + "] revision " + std::to_string(revision) + " on "
        + std::to_string(inForce) + " of " + std::to_string(entryHosts) + " entry hosts";
    for (std::size_t index = 0; index < std::min(pending.size(), maximumNamedHosts); ++index) {
        line += (index == 0 ? "; waiting for " : ", ") + pending[index];
    }
    if (pending.size() > maximumNamedHosts) {
        line += " and " + std::to_string(pending.size() - maximumNamedHosts) + " more";
    }
    return line;
}

rollout_progress rollout_progress::fromStatus(const nlohmann::json &status, revision_number revision)
{
    rollout_progress progress;
    for (const nlohmann::json &host : arrayField(status, "entryHosts")) {
        ++progress.entryHosts;
        const std::int64_t knownRevision = integerField(host, "revision");
        if (!booleanField(host, "asked")) {
            progress.pending.push_back(textField(host, "name") + " (not reached)");
        } else if (knownRevision < 0 || static_cast<revision_number>(knownRevision) < revision) {
            progress.pending.push_back(textField(host, "name") + " (revision " + std::to_string(knownRevision) + ")");
        } else {
            ++progress.inForce;
        }
    }
    return progress;
}

} // namespace parsleyglade
