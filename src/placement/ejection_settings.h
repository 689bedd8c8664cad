#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** Settings of endpoint_ejector. */
struct ejection_settings
{
    double ejectionShare = 0.3; /**< Maximum fraction of a pool's endpoints that may be ejected at the same time; the number is rounded down. */
    std::uint32_t failureLimit = 5; /**< Consecutive failures after which an endpoint is ejected. */
    std::uint32_t fastFailureLimit = 3; /**< Consecutive fast failures after which an endpoint is ejected. */
    double fastFailureShare = 0.2; /**< A failure is fast if it took less than this fraction of the expected run time. */
    duration initialBackoff = std::chrono::seconds{1}; /**< Duration of the first ejection; it doubles with each further one. */
    duration maximumBackoff = std::chrono::seconds{60}; /**< Maximum duration of an ejection, before jitter. */
    double backoffJitter = 0.2; /**< Random variation of the backoff by up to this fraction in either direction, so that entry hosts do not return at once. */
    double failureGain = 0.2; /**< Weight of a new result in the failure share, 0 to 1. */
};

} // namespace parsleyglade
