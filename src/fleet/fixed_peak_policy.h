#pragma once

#include "fleet/pool_demand.h"
#include "fleet/pool_sample.h"

#include <algorithm>

namespace parsleyglade {

/** Always demands the hosts needed at a known peak (static provisioning). Baseline for comparing the other policies. */
class fixed_peak_policy
{
public:
    struct settings
    {
        std::int64_t peakHosts = 0; /**< Hosts that the pool needs at its peak. */
    };

    explicit fixed_peak_policy(settings values)
        : m_settings(values)
    {
    }

    /** Returns the demand, without its pool and data centres. @see decideDemand */
    pool_demand decide(const pool_sample &sample, time_point /*now*/)
    {
        pool_demand demand;
        demand.hosts = std::max(m_settings.peakHosts, sample.homeHosts);
        demand.retainedHosts = demand.hosts;
        return demand;
    }

private:
    settings m_settings;
};

} // namespace parsleyglade
