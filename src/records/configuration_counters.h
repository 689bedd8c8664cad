#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <optional>

namespace parsleyglade {

/** Numbers of records that a configuration fold has processed, by result, for status and metrics. They depend on where the fold started. */
struct configuration_counters
{
    std::uint64_t accepted = 0; /**< Accepted proposals. */
    std::uint64_t refused = 0; /**< Refused proposals. */
    std::uint64_t skipped = 0; /**< Corrupt, oversized or invalid records. */
    std::uint64_t staleSnapshots = 0; /**< Snapshots that do not match the state at their offset. */
    std::uint64_t ignored = 0; /**< Records whose offset had already been folded. */
    std::uint64_t gaps = 0; /**< Records that were not applied because records before them are missing. */
    std::optional<log_offset> lastSkipped; /**< Offset of the newest skipped record. */
};

} // namespace parsleyglade
