#pragma once

#include "fleet/pool_demand.h"
#include "fleet/pool_sample.h"

#include <algorithm>

namespace parsleyglade {

/** Holds enough hosts for a known peak at all times. The baseline of static provisioning. */
class fixed_peak_policy
{
public:
    struct settings
    {
        std::int64_t peakHosts = 0; /**< Hosts of the pool at its peak. */
    };

    explicit fixed_peak_policy(settings values)
        : m_settings(values)
    {
    }

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
