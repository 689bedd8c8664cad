#pragma once

#include "core/time_types.h"

#include <optional>

namespace parsleyglade {

/** Learns the time between jobs that leave a queue while jobs wait in it. */
class drain_rate
{
public:
    explicit drain_rate(double gain);

    /** The queue received its first job. */
    void becameNonEmpty(time_point now);

    /** A job left the queue for an endpoint. */
    void jobTaken(time_point now);

    /** Time until a further job with this many ahead of it leaves, counting how long nothing has left; nothing while unknown. */
    std::optional<duration> expectedWait(double jobsAhead, time_point now) const;

private:
    double m_gain;
    bool m_isFirst = true;
    time_point m_intervalStart{}; /**< Time of the last job that left, or of the first that arrived. */
    std::optional<double> m_meanSeconds;
};

} // namespace parsleyglade
