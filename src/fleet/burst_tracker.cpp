#include "fleet/burst_tracker.h"

#include <algorithm>

namespace parsleyglade {

namespace {

/** Weight of the newest burst in the moving averages. */
constexpr double newestWeight = 0.25;

/** Expected remaining length of a burst that has outlasted the mean, as a fraction of its age; burst lengths are taken as heavy-tailed. */
constexpr double overtimeShare = 0.25;

duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void updateMean(std::optional<double> &mean, double value)
{
    mean = mean ? *mean + newestWeight * (value - *mean) : value;
}

} // namespace

void burst_tracker::update(bool bursting, time_point now)
{
    if (bursting && !m_bursting) {
        if (m_started) {
            updateMean(m_meanPeriodSeconds, toSeconds(now - *m_started));
        }
        m_started = now;
    }
    if (!bursting && m_bursting) {
        updateMean(m_meanSeconds, toSeconds(now - *m_started));
    }
    m_bursting = bursting;
}

bool burst_tracker::isBursting() const
{
    return m_bursting;
}

std::optional<duration> burst_tracker::expectedRemaining(time_point now) const
{
    if (!m_bursting || !m_meanSeconds) {
        return std::nullopt;
    }

    const double age = toSeconds(now - *m_started);
    return fromSeconds(std::max(*m_meanSeconds - age, overtimeShare * age));
}

std::optional<time_point> burst_tracker::expectedStart() const
{
    return m_started && m_meanPeriodSeconds ? std::optional(*m_started + fromSeconds(*m_meanPeriodSeconds)) : std::nullopt;
}

duration burst_tracker::meanLength() const
{
    return m_meanSeconds ? fromSeconds(*m_meanSeconds) : duration::zero();
}

} // namespace parsleyglade
