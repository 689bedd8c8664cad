#include "fleet/z_score_policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace parsleyglade {

namespace {

/** Minimum number of intervals in the window before a peak can be detected. */
constexpr std::size_t minimumWindow = 5;

/** Lower bound of the standard deviation. Counts vary by at least their square root, so a constant window must not give a deviation of zero. */
constexpr double minimumDeviation = 1.0;

} // namespace

z_score_policy::z_score_policy(settings values)
    : m_settings(values)
{
}

bool z_score_policy::isPeak() const
{
    if (m_filtered.size() < minimumWindow) {
        return false;
    }

    const double count = static_cast<double>(m_filtered.size());
    const double mean = std::accumulate(m_filtered.begin(), m_filtered.end(), 0.0) / count;
    const double squares
        = std::accumulate(m_filtered.begin(), m_filtered.end(), 0.0, [mean](double sum, double value) { return sum + (value - mean) * (value - mean); });
    const double deviation = std::max({std::sqrt(squares / count), std::sqrt(std::max(mean, 0.0)), minimumDeviation});
    return m_smoothed - mean > m_settings.threshold * deviation;
}

pool_demand z_score_policy::decide(const pool_sample &sample, time_point now)
{
    m_smoothed = m_isFirst ? sample.arrivals : m_smoothed + m_settings.smoothing * (sample.arrivals - m_smoothed);
    m_isFirst = false;
    const bool peak = isPeak();
    const double weight = peak && !m_filtered.empty() ? m_settings.influence : 1;
    const double previous = m_filtered.empty() ? m_smoothed : m_filtered.back();
    m_filtered.push_back(weight * m_smoothed + (1 - weight) * previous);
    if (m_filtered.size() > m_settings.window) {
        m_filtered.pop_front();
    }
    m_bursts.update(peak, now);

    pool_demand demand;
    demand.hosts = sample.homeHosts;
    if (peak) {
        const double rate = m_smoothed / std::max(toSeconds(sample.interval), 1e-3);
        const double slots = rate * sample.runSeconds / m_settings.targetUtilisation;
        demand.hosts = std::max(static_cast<std::int64_t>(std::ceil(slots / static_cast<double>(sample.slotsPerHost))), sample.homeHosts);
        demand.expectedDuration = m_bursts.expectedRemaining(now);
    }
    demand.retainedHosts = demand.hosts;
    return demand;
}

} // namespace parsleyglade
