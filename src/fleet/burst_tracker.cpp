#include "fleet/burst_tracker.h"

#include <algorithm>

namespace parsleyglade {

namespace {

/** Weight of the newest burst in the moving averages. */
constexpr double newestWeight = 0.25;

/** Expected remaining length of a burst that has outlasted the mean, as a fraction of its age; burst lengths are assumed to be heavy-tailed. */
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
    if (bursting && !m_isBursting) {
        if (m_startedAt) {
            updateMean(m_meanPeriodSeconds, toSeconds(now - *m_startedAt));
        }
        m_startedAt = now;
    }
    if (!bursting && m_isBursting) {
        updateMean(m_meanSeconds, toSeconds(now - *m_startedAt));
    }
    m_isBursting = bursting;
}

bool burst_tracker::isBursting() const
{
    return m_isBursting;
}

std::optional<duration> burst_tracker::expectedRemaining(time_point now) const
{
    if (!m_isBursting || !m_meanSeconds) {
        return std::nullopt;
    }

    const double age = toSeconds(now - *m_startedAt);
    return fromSeconds(std::max(*m_meanSeconds - age, overtimeShare * age));
}

std::optional<time_point> burst_tracker::expectedStart() const
{
    return m_startedAt && m_meanPeriodSeconds ? std::optional(*m_startedAt + fromSeconds(*m_meanPeriodSeconds)) : std::nullopt;
}

duration burst_tracker::meanLength() const
{
    return m_meanSeconds ? fromSeconds(*m_meanSeconds) : duration::zero();
}

} // namespace parsleyglade
