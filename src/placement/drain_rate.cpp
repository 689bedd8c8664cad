#include "placement/drain_rate.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

drain_rate::drain_rate(double gain)
    : m_gain(gain)
{
    assert(gain > 0.0 && gain <= 1.0);
}

void drain_rate::becameNonEmpty(time_point now)
{
    m_intervalStart = now;
    m_isFirst = true;
}

void drain_rate::recordDeparture(time_point now)
{
    // The first job was not queued behind another one, so its wait is not an interval between two departures.
    if (m_isFirst) {
        m_isFirst = false;
        m_intervalStart = now;
        return;
    }

    const double interval = std::max(toSeconds(now - m_intervalStart), 0.0);
    m_meanSeconds = m_meanSeconds ? *m_meanSeconds + m_gain * (interval - *m_meanSeconds) : interval;
    m_intervalStart = now;
}

std::optional<duration> drain_rate::expectedWait(double jobsAhead, time_point now) const
{
    if (!m_meanSeconds) {
        return std::nullopt;
    }

    const double seconds = jobsAhead * *m_meanSeconds + std::max(toSeconds(now - m_intervalStart) - *m_meanSeconds, 0.0);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace parsleyglade
