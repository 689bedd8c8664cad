#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

/** The varying part of a run: load, run times, faults and the age of views. */
struct workload_settings
{
    duration arrivalDuration = std::chrono::seconds{300}; /**< Time during which jobs arrive. */
    double shortLoad = 0.22; /**< Mean work of short jobs as a share of a pool's slots; a burst brings 1.1 times what the pool can hold. */
    double longShare = 0.02; /**< Share of the jobs that are long. */
    double longFactor = 50.0; /**< Run time of a long job as a multiple of a short one's. */
    double longShareOnShortRoutes = 0.1; /**< Share of the long jobs that arrive on the routes of short ones. */
    double burstFactor = 5.0;
    double quietFactor = 0.05;
    duration minimumBurst = std::chrono::seconds{4};
    duration maximumBurst = std::chrono::seconds{10};
    double urgentShare = 0.05; /**< Share of the short jobs that are urgent. */
    double declaredErrorFactor = 10.0; /**< Declared run times are wrong by up to this factor in either direction. */
    std::size_t callers = 8;
    double stormShare = 0.5; /**< Share of a burst's jobs that one caller sends. */
    bool callersRetry = false; /**< A refused job is offered again after the stated time (1 s from a baseline), until its deadline. */
    duration shortDeadline = std::chrono::seconds{10};
    duration longDeadline = std::chrono::seconds{120};
    duration minimumViewDelay = std::chrono::milliseconds{100}; /**< Least age of another entry host's counts on arrival. */
    duration maximumViewDelay = std::chrono::seconds{2};
    duration faultInterval = std::chrono::seconds{30}; /**< Mean time between faults of endpoints for each 50 endpoints; zero means none. */
};

} // namespace parsleyglade
