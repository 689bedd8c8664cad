#pragma once

#include "jobs/claim_fold.h"
#include "jobs/coordinator_settings.h"

#include <optional>

namespace parsleyglade {

/** Decides when a coordinator re-appends the state of its stream, and hands out the chunks one by one. */
class snapshot_writer
{
public:
    explicit snapshot_writer(const coordinator_settings &settings);

    /** Called when the process becomes coordinator. The age of the stream's last snapshot isn't known then, so the first one is due early. */
    void start(time_point now);

    /** Takes a snapshot of the fold when one is due. @param identifier random name of the snapshot */
    void update(const claim_fold &fold, std::int64_t identifier, time_point now);

    /** The chunk to write next; nothing when no snapshot is being written. */
    std::optional<wire::snapshot_chunk> nextChunk() const;

    /** The chunk has been folded. A chunk whose fate is unknown is simply written again; readers ignore the copy. */
    void chunkFolded(time_point now);

    /** Whether a snapshot is being written. */
    bool hasChunk() const;

private:
    bool isDue(const claim_fold &fold, time_point now) const;

    duration m_interval;
    std::size_t m_records;
    std::size_t m_chunkEntries;
    time_point m_dueAt{};
    log_offset m_lastAsOf = 0;
    std::int64_t m_identifier = 0;
    std::int64_t m_checksum = 0;
    std::size_t m_next = 0;
    std::vector<std::string> m_parts;
};

} // namespace parsleyglade
