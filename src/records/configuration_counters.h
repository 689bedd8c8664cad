#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <optional>

namespace parsleyglade {

/** What a configuration fold met in its stream, for status and metrics. Counts depend on where the fold started. */
struct configuration_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t skipped = 0; /**< Corrupt, oversized or invalid records. */
    std::uint64_t staleSnapshots = 0;
    std::uint64_t ignored = 0;
    std::uint64_t gaps = 0;
    std::optional<log_offset> lastSkipped; /**< Offset of the newest skipped record. */
};

} // namespace parsleyglade
