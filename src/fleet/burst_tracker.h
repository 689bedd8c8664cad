#pragma once

#include "core/time_types.h"

#include <optional>

namespace parsleyglade {

/** Estimates the length of a pool's load bursts and the interval between their starts from past bursts. */
class burst_tracker
{
public:
    /** Records whether the pool is in a burst at this time. @pre now is not earlier than in the previous call */
    void update(bool bursting, time_point now);

    bool isBursting() const;

    /** Expected remaining length of the current burst; nullopt outside a burst and before the first burst has ended. */
    std::optional<duration> expectedRemaining(time_point now) const;

    /** Expected start of the next burst; nullopt before two bursts have started. */
    std::optional<time_point> expectedStart() const;

    /** Mean length of past bursts; zero before the first burst has ended. */
    duration meanLength() const;

private:
    bool m_isBursting = false;
    std::optional<time_point> m_startedAt;
    std::optional<double> m_meanSeconds;
    std::optional<double> m_meanPeriodSeconds;
};

} // namespace parsleyglade
