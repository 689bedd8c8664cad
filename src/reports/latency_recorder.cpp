#include "reports/latency_recorder.h"

#include <algorithm>

namespace parsleyglade {

namespace {

/** Longer than any job runs. Larger values are clamped, as a single invalid one would distort the estimates until their restart. */
constexpr duration maximumLatency = std::chrono::hours(72);

} // namespace

void latency_recorder::add(duration latency, wall_time at)
{
    const std::int64_t period = periodOf(at);
    if (period == m_period + 1) {
        m_older = m_newer;
        m_newer = {};
    } else if (period != m_period) {
        m_older = {};
        m_newer = {};
    }
    m_period = period;

    const double milliseconds = toSeconds(std::clamp(latency, duration{0}, maximumLatency)) * 1'000;
    m_older.add(milliseconds);
    m_newer.add(milliseconds);
}

latency_quantiles latency_recorder::quantiles(wall_time at) const
{
    const std::int64_t period = periodOf(at);
    if (period == m_period) {
        return m_older.quantiles();
    }
    return period == m_period + 1 ? m_newer.quantiles() : latency_quantiles{};
}

std::int64_t latency_recorder::periodOf(wall_time at)
{
    return at.time_since_epoch() / std::chrono::milliseconds(restartInterval);
}

} // namespace parsleyglade
