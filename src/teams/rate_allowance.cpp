#include "teams/rate_allowance.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// A refused job is not told to wait longer: by then the load has changed, and the rate is measured anew.
constexpr duration maximumReturnDelay = std::chrono::seconds{30};

// Part of the rate that is left for returning jobs.
constexpr double returnShare = 0.5;

duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double rate_allowance::capacity() const
{
    return m_jobsPerSecond + burstJobs;
}

double rate_allowance::tokensAt(time_point now) const
{
    const double added = toSeconds(std::max(now - m_countedAt, duration::zero())) * m_jobsPerSecond;
    return std::min(m_tokens + added, capacity());
}

void rate_allowance::setRate(double jobsPerSecond, time_point now)
{
    const double tokens = tokensAt(now);
    m_jobsPerSecond = std::max(jobsPerSecond, 0.0);
    m_tokens = m_isFilled ? std::min(tokens, capacity()) : capacity();
    m_countedAt = now;
    m_isFilled = true;
}

bool rate_allowance::isAvailable(time_point now) const
{
    return m_jobsPerSecond == 0.0 || tokensAt(now) >= 1.0;
}

void rate_allowance::take(time_point now)
{
    m_tokens = std::max(tokensAt(now) - 1.0, 0.0);
    m_countedAt = std::max(now, m_countedAt);
}

duration rate_allowance::reserveReturn(time_point now)
{
    if (m_jobsPerSecond == 0.0) {
        return duration::zero();
    }
    const duration untilNext = fromSeconds(std::max(1.0 - tokensAt(now), 0.0) / m_jobsPerSecond);
    const duration interval = fromSeconds(1.0 / (m_jobsPerSecond * returnShare));
    m_nextReturn = std::min(std::max(m_nextReturn, now + untilNext) + interval, now + maximumReturnDelay);
    return m_nextReturn - now;
}

} // namespace parsleyglade
