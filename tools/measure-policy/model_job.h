#pragma once

#include "core/core.h"
#include "placement/placement.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Simulated job: the properties visible to an entry host, those that only the simulation may use, and its progress. */
struct model_job
{
    std::uint32_t pool = 0;
    std::uint32_t route = 0;
    std::uint32_t caller = 0;
    urgency_class urgency = urgency_class::normal;
    bool isIdempotent = true;
    duration declaredRunTime{}; /**< Run time stated by the caller; may be wrong. */
    time_point arrivedAt{};
    time_point deadline{};

    bool isLong = false; /**< Not visible to entry hosts, nor are the following fields up to and including runTime. */
    bool isInBurst = false; /**< Whether it arrived during a burst of its pool. */
    bool isFromStormingCaller = false; /**< Whether it was sent by the storming caller. @see workload_settings::stormShare */
    duration runTime{}; /**< Actual run time. */

    std::uint32_t entryHost = 0; /**< Entry host that handles it now. */
    bool isForwarded = false; /**< Whether it was forwarded to an entry host of another data centre. */
    time_point startedAt{}; /**< Start of the last attempt at an endpoint. */
};

} // namespace parsleyglade
