#pragma once

#include "core/time_types.h"
#include "placement/retry_after_settings.h"

#include <cstddef>

namespace parsleyglade {

/** Settings of admission_queue. */
struct admission_settings
{
    std::size_t maximumJobs = 400; /**< Maximum number of queued jobs. */
    std::size_t maximumJobsOfCaller = 200; /**< Maximum number of queued jobs of one caller. */
    duration maximumShortWait = std::chrono::seconds{1}; /**< Expected wait above which a short job is refused, even if its deadline allows more. */
    double longJobQueueShare = 0.25; /**< Fraction of both limits that long jobs may use; short jobs may use the rest. */
    double urgentReserve = 0.1; /**< Fraction of the limits that is reserved for urgent jobs. */
    std::size_t maximumUrgentInRow = 4; /**< Consecutive urgent jobs taken while normal jobs are queued, before one normal job is taken. */
    duration quantum = std::chrono::milliseconds{100}; /**< Expected run time granted to a caller of share 1 in each turn. */
    double drainGain = 0.05; /**< Weight of a new observation in the mean time between jobs taken, 0 to 1. */
    duration excessHalfLife = std::chrono::seconds{5}; /**< Age at which an offer has half its weight in the excess load. */
    retry_after_settings retryAfter;
};

} // namespace parsleyglade
