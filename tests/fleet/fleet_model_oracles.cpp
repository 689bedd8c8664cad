#include "fleet_model.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace parsleyglade {

void fleet_model::require(bool condition, const std::string &violation)
{
    if (!condition) {
        throw std::runtime_error(violation);
    }
}

void fleet_model::checkOnePool() const
{
    for (const fleet_host &host : m_tables.hosts) {
        std::set<std::string> pools;
        for (const model_entry &entry : m_entries) {
            const auto hostMembership = membershipOf(entry, host);
            if (entry.isRunning && !entry.isStopping && hostMembership.isUsable()) {
                pools.insert(hostMembership.pool);
            }
            const auto sent = entry.inFlight.find(host.name);
            if (sent != entry.inFlight.end()) {
                pools.insert(sent->second.begin(), sent->second.end());
            }
        }
        for (const running_job &job : m_jobs) {
            if (job.endpoint == host.name) {
                pools.insert(job.pool);
            }
        }
        require(pools.size() <= 1, "host " + host.name + " is usable for two pools at the same time");
    }
}

void fleet_model::checkLeaving() const
{
    for (const model_entry &entry : m_entries) {
        if (entry.fold.isAwaitingSnapshot()) {
            continue;
        }
        for (const fleet_host &host : m_tables.hosts) {
            const auto &leaving = m_leaving[entry.fold.nextOffset()];
            const auto found = leaving.find(host.name);
            require(found == leaving.end() || !found->second || !membershipOf(entry, host).isUsable(),
                    "host " + host.name + " is usable although it is moving or drained");
        }
    }
}

void fleet_model::checkDigests() const
{
    for (const model_entry &entry : m_entries) {
        require(entry.fold.isAwaitingSnapshot() || entry.fold.digest() == m_digests[entry.fold.nextOffset()],
                "the digest of an entry host's fold differs from the reference at the same log position");
    }
}

void fleet_model::checkBudget(const fleet_state &before, const wire::fleet_record &record)
{
    const bool startsMove = record.action == wire::fleet_action::move_started && record.fromPool != record.toPool;
    const bool startsWaveDrain = record.action == wire::fleet_action::drain_started && record.author.starts_with("wave:");
    if (startsMove || startsWaveDrain) {
        ++m_counts.plannedStarts;
        availability_budget budget(m_tables, before, m_health);
        require(budget.tryChargeHost(record.subject), "planned work on host " + record.subject + " exceeds the availability budget");
    }
}

} // namespace parsleyglade
