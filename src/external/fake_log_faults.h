#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Faults that a fake_log injects. Probabilities are between 0 and 1 and are drawn for each call; at most one of them applies to an append. */
struct fake_log_faults
{
    bool outage = false; /**< Refuses every append and read; results that have not been delivered yet are lost. */
    duration latency = std::chrono::milliseconds{1}; /**< From the call to its result; an append takes effect after half of it. */
    double loseResponses = 0; /**< Probability that an append takes effect in time but is reported as unknown. */
    double lateAppends = 0; /**< Probability that an append is first reported as unknown and takes effect afterwards. */
    double duplicates = 0; /**< Probability that an append is reported once and written a second time later. */
    double staleReads = 0; /**< Probability that a read is served at once by a replica that lacks the newest records. */
    double appendsPerSecond = 300; /**< Rate limit for all streams and callers together; 0 for none. */
};

} // namespace parsleyglade
