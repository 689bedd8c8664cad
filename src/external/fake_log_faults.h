#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Faults of a fake_log. Shares are between 0 and 1 and are drawn for each call; at most one share applies to an append. */
struct fake_log_faults
{
    bool outage = false; /**< Refuses every append and read; answers already on their way are lost. */
    duration latency = std::chrono::milliseconds{1}; /**< From call to answer; an append takes effect after half of it. */
    double loseResponses = 0; /**< Appends that take effect in time and are answered unknown. */
    double lateAppends = 0; /**< Appends that are answered unknown first and take effect afterwards. */
    double duplicates = 0; /**< Appends that are answered once and written a second time later. */
    double staleReads = 0; /**< Reads that are answered at once by a replica that lacks the newest records. */
    double appendsPerSecond = 300; /**< Limit for all streams and callers together; 0 for none. */
};

} // namespace parsleyglade
