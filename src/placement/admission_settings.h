#pragma once

#include "core/time_types.h"
#include "placement/retry_after_settings.h"

#include <cstddef>

namespace parsleyglade {

/** Settings of admission_queue. */
struct admission_settings
{
    std::size_t maximumJobs = 400; /**< Jobs that may wait for the pool. */
    std::size_t maximumJobsOfCaller = 200; /**< Jobs of one caller that may wait. */
    duration maximumShortWait = std::chrono::seconds{1}; /**< Expected wait above which a short job is refused, even if its deadline allows more. */
    double longJobQueueShare = 0.25; /**< Share of both maxima that long jobs may fill; short jobs may fill the rest. */
    double urgentReserve = 0.1; /**< Share of the places that only urgent jobs may fill. */
    std::size_t maximumUrgentInRow = 4; /**< Urgent jobs taken in a row while normal jobs wait, before one normal job is taken. */
    duration quantum = std::chrono::milliseconds{100}; /**< Expected run time granted to a caller of share 1 for each turn. */
    double drainGain = 0.05; /**< Weight of a new observation of the time between jobs taken. */
    duration excessHalfLife = std::chrono::seconds{5}; /**< Age at which an offer counts half in the excess load. */
    retry_after_settings retryAfter;
};

} // namespace parsleyglade
