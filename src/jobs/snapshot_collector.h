#pragma once

#include "core/identifiers.h"
#include "wire/wire.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** A complete snapshot with a valid checksum. */
struct collected_snapshot
{
    log_offset asOf = 0; /**< Last offset that the snapshot covers. */
    std::vector<std::string> parts; /**< Serialised parts, see claim_fold::snapshotParts(). */
};

/** Checksum over all parts of a snapshot. */
std::int64_t snapshotChecksum(const std::vector<std::string> &parts);

/** Assembles snapshots from their chunks. Chunks of several writers may be interleaved, duplicated, corrupt or missing. */
class snapshot_collector
{
public:
    /** Maximum number of chunks of a snapshot. Chunks of larger snapshots are ignored. */
    static constexpr std::int32_t maximumChunks = 65'536;

    /** Adds a chunk. Returns the snapshot if this chunk completes it, the checksum is valid and no newer snapshot was completed before. */
    std::optional<collected_snapshot> add(const wire::snapshot_chunk &chunk);

    /** Last offset covered by the newest complete snapshot, if any. */
    std::optional<log_offset> newest() const;

private:
    struct assembly
    {
        std::int64_t snapshot = 0;
        std::int64_t checksum = 0;
        std::size_t received = 0;
        std::vector<std::string> parts;
    };

    assembly *assemblyOf(const wire::snapshot_chunk &chunk);

    std::deque<assembly> m_assemblies;
    std::optional<log_offset> m_newest;
};

} // namespace parsleyglade
