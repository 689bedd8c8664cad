#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/**
 * Token bucket of a team: how many jobs it may still submit within its rate. It holds the jobs of one second, and a few more so that a team with a low rate
 * can submit several jobs together.
 */
class rate_allowance
{
public:
    /** Jobs that any team may submit together, beside those of one second. */
    static constexpr double burstJobs = 5.0;

    /** Sets the rate. The first call fills the bucket. @param jobsPerSecond 0 for no limit */
    void setRate(double jobsPerSecond, time_point now);

    /** Whether a job that is submitted now is within the rate. */
    bool isAvailable(time_point now) const;

    /** Takes a job from the allowance, as far as there is one. */
    void take(time_point now);

    /** Reserves the next time at which a refused job may be submitted again, and returns how long it is until then. The times of several refused jobs are
        spread so that half of the rate is left for jobs that are submitted for the first time. */
    duration reserveReturn(time_point now);

private:
    double capacity() const;
    double tokensAt(time_point now) const;

    double m_jobsPerSecond = 0.0;
    double m_tokens = 0.0;
    time_point m_countedAt{};
    time_point m_nextReturn{};
    bool m_isFilled = false;
};

} // namespace parsleyglade
