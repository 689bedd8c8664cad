#pragma once

#include "core/identifiers.h"
#include "wire/wire.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** A complete snapshot whose checksum is right. */
struct collected_snapshot
{
    log_offset asOf = 0; /**< Last offset whose effect the snapshot contains. */
    std::vector<std::string> parts;
};

/** Checksum over all parts of a snapshot. */
std::int64_t snapshotChecksum(const std::vector<std::string> &parts);

/** Puts the chunks of snapshots together. Chunks of several writers may be interleaved, repeated, damaged or missing. */
class snapshot_collector
{
public:
    /** Largest number of chunks in a snapshot; one with more is ignored. */
    static constexpr std::int32_t maximumChunks = 65'536;

    /** Takes a chunk. Returns the snapshot when this chunk completes it and the checksum is right. */
    std::optional<collected_snapshot> add(const wire::snapshot_chunk &chunk);

    /** Offset as of which the newest complete snapshot was taken. */
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
