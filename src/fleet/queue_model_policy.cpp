#include "fleet/queue_model_policy.h"

#include <algorithm>
#include <cmath>

namespace parsleyglade {

queue_model_policy::queue_model_policy(settings values)
    : m_settings(values)
{
}

std::int64_t queue_model_policy::neededHosts(const pool_sample &sample) const
{
    const double offered = m_rate * sample.runSeconds;
    const double backlog = sample.queued * sample.runSeconds / std::max(toSeconds(m_settings.clearTime), 1e-3);
    const double slots = offered + m_settings.staffingMargin * std::sqrt(offered) + backlog;
    return static_cast<std::int64_t>(std::ceil(slots / static_cast<double>(sample.slotsPerHost)));
}

pool_demand queue_model_policy::decide(const pool_sample &sample, time_point now)
{
    m_rate = m_isFirst ? sample.rate() : m_rate + m_settings.smoothing * (sample.rate() - m_rate);
    m_isFirst = false;
    const std::int64_t needed = std::max(neededHosts(sample), sample.homeHosts);
    m_bursts.update(needed > sample.homeHosts, now);

    if (needed >= m_retainedHosts || now - m_lastNeeded > m_settings.holdTime) {
        m_retainedHosts = needed;
        m_lastNeeded = now;
    }

    pool_demand demand;
    demand.hosts = needed;
    demand.retainedHosts = std::max(m_retainedHosts, needed);
    if (const auto remaining = m_bursts.expectedRemaining(now)) {
        demand.expectedDuration = std::chrono::duration_cast<duration>(*remaining / std::max(m_settings.moveCostFactor, 1e-3));
    }
    return demand;
}

} // namespace parsleyglade
