#pragma once

#include "jobs/claim_fold.h"
#include "jobs/coordinator_settings.h"

#include <optional>

namespace parsleyglade {

/** Decides when a coordinator appends a snapshot of its stream's state, and provides the chunks one at a time. */
class snapshot_writer
{
public:
    explicit snapshot_writer(const coordinator_settings &settings);

    /** Resets the writer when the process becomes coordinator. The age of the last snapshot is then unknown, so the first one is due early. */
    void start(time_point now);

    /** Takes a snapshot of the fold if one is due. @param identifier random identifier of the snapshot */
    void update(const claim_fold &fold, std::int64_t identifier, time_point now);

    /** Returns the next chunk to write; nothing if no snapshot is being written. */
    std::optional<wire::snapshot_chunk> nextChunk() const;

    /** Records that the chunk has been applied. A chunk whose append has an unknown outcome is written again; readers ignore the duplicate. */
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
