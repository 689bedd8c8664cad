#pragma once

#include "core/time_types.h"

#include <algorithm>

namespace parsleyglade {

/** How long planned runs wait until their start is ordered. A run waits for the journal batch in flight and for its own. Times must not decrease between
    calls. */
class start_delay
{
public:
    /** Adds the mean wait of the runs of a recorded batch. */
    void add(duration wait, time_point now)
    {
        const double weight = std::min(toSeconds(now - m_measuredAt) / toSeconds(averagingTime), maximumWeight);
        m_mean += std::chrono::duration_cast<duration>((wait - m_mean) * weight);
        m_latest = wait;
        m_measuredAt = now;
    }

    /** Forgets the delay if it is old. Without waiting runs there is nothing that would measure the present one. @pre no planned run waits */
    void forgetIfOld(time_point now)
    {
        if (now - m_measuredAt > averagingTime) {
            m_mean = duration::zero();
        }
    }

    /** Returns the wait to expect, the smaller of the recent average and the latest wait: one slow batch does not count in full, and an overload that is over
        not at all. Zero if nothing has been measured recently. */
    duration expected() const
    {
        return std::min(m_mean, m_latest);
    }

private:
    static constexpr duration averagingTime = std::chrono::seconds{1};
    static constexpr double maximumWeight = 0.5; // a single slow batch, such as the first one of a new leader, does not count in full

    duration m_mean{};
    duration m_latest{};
    time_point m_measuredAt{};
};

} // namespace parsleyglade
