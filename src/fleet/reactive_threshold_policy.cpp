#include "fleet/reactive_threshold_policy.h"

#include <algorithm>
#include <cmath>

namespace parsleyglade {

reactive_threshold_policy::reactive_threshold_policy(settings values)
    : m_settings(values)
{
}

pool_demand reactive_threshold_policy::decide(const pool_sample &sample, time_point /*now*/)
{
    const double utilisation = sample.utilisation();
    pool_demand demand;
    demand.hosts = std::max(sample.hosts, sample.homeHosts);
    if (utilisation > m_settings.highUtilisation || utilisation < m_settings.lowUtilisation) {
        const double needed = static_cast<double>(sample.hosts) * utilisation / m_settings.targetUtilisation;
        demand.hosts = std::max(static_cast<std::int64_t>(std::ceil(needed)), sample.homeHosts);
    }
    demand.retainedHosts = demand.hosts;
    return demand;
}

} // namespace parsleyglade
