#include "jobs/snapshot_writer.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

namespace {

constexpr int firstSnapshotDivisor = 8; // The first snapshot after start() is due after this fraction of the interval.

} // namespace

snapshot_writer::snapshot_writer(const coordinator_settings &settings)
    : m_interval(settings.snapshotInterval)
    , m_records(settings.snapshotRecords)
    , m_chunkEntries(settings.snapshotChunkEntries)
{
}

void snapshot_writer::start(time_point now)
{
    m_parts.clear();
    m_dueAt = now + m_interval / firstSnapshotDivisor;
}

void snapshot_writer::update(const claim_fold &fold, std::int64_t identifier, time_point now)
{
    m_lastAsOf = std::max(m_lastAsOf, fold.newestSnapshot().value_or(0));
    if (!m_parts.empty() || !isDue(fold, now)) {
        return;
    }

    m_identifier = identifier;
    m_parts = fold.snapshotParts(m_chunkEntries);
    m_checksum = snapshotChecksum(m_parts);
    m_next = 0;
    m_lastAsOf = fold.nextOffset() - 1;
}

std::optional<wire::snapshot_chunk> snapshot_writer::nextChunk() const
{
    if (m_parts.empty()) {
        return std::nullopt;
    }

    wire::snapshot_chunk chunk;
    chunk.snapshot = m_identifier;
    chunk.index = static_cast<std::int32_t>(m_next);
    chunk.count = static_cast<std::int32_t>(m_parts.size());
    chunk.checksum = m_checksum;
    chunk.part = m_parts[m_next];
    return chunk;
}

void snapshot_writer::chunkFolded(time_point now)
{
    assert(!m_parts.empty());
    ++m_next;
    if (m_next == m_parts.size()) {
        m_parts.clear();
        m_dueAt = now + m_interval;
    }
}

bool snapshot_writer::hasChunk() const
{
    return !m_parts.empty();
}

bool snapshot_writer::isDue(const claim_fold &fold, time_point now) const
{
    const bool isGrown = fold.nextOffset() > m_lastAsOf + m_records;
    return fold.nextOffset() > 0 && (isGrown || now >= m_dueAt);
}

} // namespace parsleyglade
