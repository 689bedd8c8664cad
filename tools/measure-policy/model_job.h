#pragma once

#include "core/core.h"
#include "placement/placement.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** One modelled job: what the entry host may know of it, and what only the model knows. */
struct model_job
{
    std::uint32_t pool = 0;
    std::uint32_t route = 0;
    std::uint32_t caller = 0;
    urgency_class urgency = urgency_class::normal;
    bool isIdempotent = true;
    duration declaredRunTime{};
    time_point arrivedAt{};
    time_point deadline{};

    bool isLong = false; /**< Known to the model only. */
    bool isInBurst = false; /**< It arrived while its pool's queue burst. */
    bool isFromStormingCaller = false; /**< It was sent by the caller that storms. */
    duration runTime{};

    std::uint32_t entryHost = 0;
    bool isForwarded = false;
    time_point startedAt{}; /**< Start of the last attempt at an endpoint. */
};

} // namespace parsleyglade
