#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

/** Settings of a run that vary between measurements: load, run times, faults and the age of load reports. Factors and shares have no unit. */
struct workload_settings
{
    duration arrivalDuration = std::chrono::seconds{300}; /**< Virtual time during which jobs arrive. */
    /** Mean work of short jobs as a share of a pool's slots; with burstFactor, a burst is 1.1 times the capacity of the pool. */
    double shortLoad = 0.22;
    double longShare = 0.02; /**< Share of the jobs that are long. */
    double longFactor = 50.0; /**< Mean run time of a long job as a multiple of that of a short job. */
    double longShareOnShortRoutes = 0.1; /**< Share of the long jobs that arrive on routes of short jobs. */
    double burstFactor = 5.0; /**< Arrival rate within a burst as a multiple of the mean rate. */
    double quietFactor = 0.05; /**< Arrival rate outside bursts as a multiple of the mean rate. */
    duration minimumBurst = std::chrono::seconds{4};
    duration maximumBurst = std::chrono::seconds{10};
    double urgentShare = 0.05; /**< Share of the short jobs that are urgent. */
    double declaredErrorFactor = 10.0; /**< Declared run times are wrong by up to this factor in either direction. */
    std::size_t callers = 8;
    double stormShare = 0.5; /**< Share of a burst's jobs sent by one caller, the storming caller; the other callers are the quiet ones. */
    /** Whether callers send a refused job again after the Retry-After time (1 s from a baseline policy), until its deadline. */
    bool callersRetry = false;
    duration shortDeadline = std::chrono::seconds{10};
    duration longDeadline = std::chrono::seconds{120};
    duration minimumViewDelay = std::chrono::milliseconds{100}; /**< Minimum age of another entry host's load report on arrival. */
    duration maximumViewDelay = std::chrono::seconds{2}; /**< Maximum age of another entry host's load report on arrival. */
    duration faultInterval = std::chrono::seconds{30}; /**< Mean time between endpoint faults for every 50 endpoints; zero disables faults. */
};

} // namespace parsleyglade
