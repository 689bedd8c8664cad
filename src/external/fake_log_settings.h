#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <cstdint>

namespace parsleyglade {

struct fake_log_settings
{
    std::uint64_t seed = 1; /**< Of every random choice. */
    std::size_t retentionRecords = 1'000'000; /**< Kept for each stream. */
    duration retentionAge = std::chrono::hours{24};
    std::size_t maximumPayloadBytes = std::size_t{1024} * 1024; /**< A larger append is refused. */
    std::size_t maximumReadBytes = std::size_t{4} * 1024 * 1024; /**< Payload bytes in one read's answer, which holds at least one record. */
    std::size_t maximumStaleRecords = 16; /**< A stale replica lacks up to this many records. */
    duration maximumLostResponseDelay = std::chrono::milliseconds{100}; /**< The caller learns of a lost answer within this time. */
    duration maximumLateWriteDelay = std::chrono::seconds{2}; /**< Late and second writes take effect within this time after the caller's answer. */
};

} // namespace parsleyglade
