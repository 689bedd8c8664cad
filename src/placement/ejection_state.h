#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** Failure history and ejection of one endpoint. Maintained by endpoint_ejector. */
struct ejection_state
{
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveFastFailures = 0;
    std::uint32_t ejections = 0; /**< Ejections since the last success; determines the backoff. */
    bool onProbation = false; /**< Ejected, and no success since: the endpoint receives one job at a time after the backoff. */
    double failureShare = 0.0; /**< Exponential moving average of the fraction of jobs that failed, 0 to 1. */
    time_point ejectedUntil{}; /**< End of the latest ejection. */

    bool isEjected(time_point now) const
    {
        return now < ejectedUntil;
    }
};

} // namespace parsleyglade
