#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** What the entry hosts saw of one pool in the last interval. */
struct pool_sample
{
    duration interval{}; /**< Length of the interval. */
    double arrivals = 0; /**< Jobs that arrived in it. */
    double queued = 0; /**< Jobs that wait now. */
    double running = 0; /**< Jobs that run now. */
    double runSeconds = 0; /**< Learned mean run time of a job. */
    std::int64_t hosts = 0; /**< Hosts that serve or join the pool. */
    std::int64_t homeHosts = 0; /**< Available hosts that the tables give it. */
    std::int64_t slotsPerHost = 1;
    duration moveTime{}; /**< Learned time from the start of a move to its join. */
    std::vector<std::string> dataCentres; /**< Data centres in falling order of their waiting work. */

    /** Busy and wanted slots as a share of the pool's slots. */
    double utilisation() const
    {
        return hosts <= 0 ? 0 : (running + queued) / static_cast<double>(hosts * slotsPerHost);
    }

    /** Arrivals a second. */
    double rate() const
    {
        return interval <= duration::zero() ? 0 : arrivals / toSeconds(interval);
    }
};

} // namespace parsleyglade
