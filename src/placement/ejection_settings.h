#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** Settings of endpoint_ejector. */
struct ejection_settings
{
    double ejectionShare = 0.3; /**< Largest share of a pool's endpoints that may be ejected at any time, rounded down. */
    std::uint32_t failureLimit = 5; /**< Failures in a row that eject. */
    std::uint32_t fastFailureLimit = 3; /**< Fast failures in a row that eject. */
    double fastFailureShare = 0.2; /**< A failure is fast when it took less than this share of the expected run time. */
    duration initialBackoff = std::chrono::seconds{1}; /**< Length of the first ejection; each further one is twice as long. */
    duration maximumBackoff = std::chrono::seconds{60};
    double backoffJitter = 0.2; /**< The back-off varies by up to this share in either direction, so entry hosts do not return together. */
    double failureGain = 0.2; /**< Weight of one result in the failure share. */
};

} // namespace parsleyglade
