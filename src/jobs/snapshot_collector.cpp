#include "jobs/snapshot_collector.h"

#include "core/digest.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// After a membership change several hosts may write snapshots at the same time. Further incomplete snapshots belong to writers that have stopped.
constexpr std::size_t maximumAssemblies = 8;

} // namespace

std::int64_t snapshotChecksum(const std::vector<std::string> &parts)
{
    std::uint64_t checksum = parts.size();
    for (const std::string &part : parts) {
        checksum = hash64(part, checksum);
    }
    return static_cast<std::int64_t>(checksum);
}

std::optional<collected_snapshot> snapshot_collector::add(const wire::snapshot_chunk &chunk)
{
    assembly *found = assemblyOf(chunk);
    if (found == nullptr || chunk.part.empty() || !found->parts[chunk.index].empty()) {
        return std::nullopt;
    }

    found->parts[chunk.index] = chunk.part;
    ++found->received;
    if (found->received < found->parts.size()) {
        return std::nullopt;
    }

    std::vector<std::string> parts = std::move(found->parts);
    const bool isValid = snapshotChecksum(parts) == found->checksum;
    std::erase_if(m_assemblies, [&chunk](const assembly &item) { return item.snapshot == chunk.snapshot; });
    const auto first = isValid ? decode<wire::claim_batch>(parts.front()) : failure{};
    if (!first) {
        return std::nullopt;
    }

    const auto asOf = static_cast<log_offset>(first->batch);
    if (m_newest && *m_newest > asOf) {
        return std::nullopt;
    }
    m_newest = asOf;
    return collected_snapshot{asOf, std::move(parts)};
}

std::optional<log_offset> snapshot_collector::newest() const
{
    return m_newest;
}

snapshot_collector::assembly *snapshot_collector::assemblyOf(const wire::snapshot_chunk &chunk)
{
    if (chunk.count < 1 || chunk.count > maximumChunks || chunk.index < 0 || chunk.index >= chunk.count) {
        return nullptr;
    }

    const auto found = std::find_if(m_assemblies.begin(), m_assemblies.end(), [&chunk](const assembly &item) { return item.snapshot == chunk.snapshot; });
    if (found != m_assemblies.end()) {
        const bool isSame = found->parts.size() == static_cast<std::size_t>(chunk.count) && found->checksum == chunk.checksum;
        return isSame ? &*found : nullptr;
    }

    if (m_assemblies.size() == maximumAssemblies) {
        m_assemblies.pop_front();
    }
    m_assemblies.push_back({chunk.snapshot, chunk.checksum, 0, std::vector<std::string>(chunk.count)});
    return &m_assemblies.back();
}

} // namespace parsleyglade
