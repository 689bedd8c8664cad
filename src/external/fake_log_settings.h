#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <cstdint>

namespace parsleyglade {

/** Limits and delays of a fake_log. */
struct fake_log_settings
{
    std::uint64_t seed = 1; /**< Seed of all random choices. */
    std::size_t retentionRecords = 1'000'000; /**< Records retained for each stream. */
    duration retentionAge = std::chrono::hours{24}; /**< Older records are removed. */
    std::size_t maximumPayloadBytes = std::size_t{1024} * 1024; /**< A larger append is refused. */
    std::size_t maximumReadBytes = std::size_t{4} * 1024 * 1024; /**< Payload bytes in the result of one read; a single larger record is still returned. */
    std::size_t maximumStaleRecords = 16; /**< A stale replica lacks 1 to this many records. */
    duration maximumLostResponseDelay = std::chrono::milliseconds{100}; /**< A lost response is reported to the caller within this time. */
    duration maximumLateWriteDelay = std::chrono::seconds{2}; /**< From the result of a late append, or the first write of a duplicate. */
};

} // namespace parsleyglade
