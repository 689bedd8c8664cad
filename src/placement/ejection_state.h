#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** An endpoint's record of failures and its ejection. Changed only by endpoint_ejector. */
struct ejection_state
{
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveFastFailures = 0;
    std::uint32_t ejections = 0; /**< Ejections since the last success; sets the back-off. */
    bool onProbation = false; /**< Ejected before and no success since: takes one job at a time once the back-off ends. */
    double failureShare = 0.0; /**< Share of recent jobs that failed, 0 to 1; an exponential mean. */
    time_point ejectedUntil{};

    bool isEjected(time_point now) const
    {
        return now < ejectedUntil;
    }
};

} // namespace parsleyglade
