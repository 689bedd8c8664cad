#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Settings of retry_after_policy. */
struct retry_after_settings
{
    duration base = std::chrono::seconds{1}; /**< Mean time without excess load. */
    duration maximum = std::chrono::seconds{60};
    double jitter = 0.5; /**< Times vary evenly by up to this share in either direction, 0 to 1. */
};

} // namespace parsleyglade
