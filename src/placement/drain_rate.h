#pragma once

#include "core/time_types.h"

#include <optional>

namespace parsleyglade {

/** Estimates the mean time between two departures of jobs from a non-empty queue, and from it the wait of further jobs. */
class drain_rate
{
public:
    /** @param gain Weight of a new interval in the mean. @pre 0 < gain <= 1 */
    explicit drain_rate(double gain);

    /** Call when a job arrives in the empty queue. */
    void becameNonEmpty(time_point now);

    /** Call when a job leaves the queue for an endpoint. */
    void recordDeparture(time_point now);

    /**
     * Expected time until jobsAhead jobs have left, including the time by which the next departure is overdue. nullopt before the first
     * interval was observed.
     */
    std::optional<duration> expectedWait(double jobsAhead, time_point now) const;

private:
    double m_gain;
    bool m_isFirst = true;
    time_point m_intervalStart{}; /**< Time of the last departure, or of the first arrival in the empty queue. */
    std::optional<double> m_meanSeconds;
};

} // namespace parsleyglade
