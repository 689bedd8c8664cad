#pragma once

#include "core/time_types.h"

#include <optional>

namespace parsleyglade {

/** Learns how long the bursts of one pool last and how far apart they start. */
class burst_tracker
{
public:
    /** Notes whether the pool bursts at this time. Times must not fall. */
    void update(bool bursting, time_point now);

    bool isBursting() const;

    /** How much longer the present burst is expected to last; nothing outside bursts and before the first has ended. */
    std::optional<duration> expectedRemaining(time_point now) const;

    /** When the next burst is expected to start; nothing before two have started. */
    std::optional<time_point> expectedStart() const;

    /** Mean length of past bursts; zero before the first has ended. */
    duration meanLength() const;

private:
    bool m_bursting = false;
    std::optional<time_point> m_started;
    std::optional<double> m_meanSeconds;
    std::optional<double> m_meanPeriodSeconds;
};

} // namespace parsleyglade
