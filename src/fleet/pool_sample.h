#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** Load and capacity of one pool in the last interval, added up over the entry hosts. */
struct pool_sample
{
    duration interval{}; /**< Length of the interval. */
    double arrivals = 0; /**< Jobs that arrived during the interval. */
    double queued = 0; /**< Jobs that are queued at its end. */
    double running = 0; /**< Jobs that are running at its end. */
    double runSeconds = 0; /**< Estimated mean run time of a job, in seconds. */
    std::int64_t hosts = 0; /**< Hosts that serve the pool or are joining it. */
    std::int64_t homeHosts = 0; /**< Available hosts whose home pool this is. */
    std::int64_t slotsPerHost = 1; /**< Jobs that a host runs at the same time. */
    duration moveTime{}; /**< Measured time from the start of a move until the host has joined. */
    std::vector<std::string> dataCentres; /**< Data centres in descending order of their queued work. */

    /** Running and queued jobs as a fraction of the pool's slots; above 1 under overload, 0 if the pool has no host. */
    double utilisation() const
    {
        return hosts <= 0 ? 0 : (running + queued) / static_cast<double>(hosts * slotsPerHost);
    }

    /** Arrivals per second. */
    double rate() const
    {
        return interval <= duration::zero() ? 0 : arrivals / toSeconds(interval);
    }
};

} // namespace parsleyglade
