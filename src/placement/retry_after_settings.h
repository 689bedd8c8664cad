#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Settings of retry_after_policy. */
struct retry_after_settings
{
    duration base = std::chrono::seconds{1}; /**< Mean time without excess load. */
    duration maximum = std::chrono::seconds{60}; /**< Upper limit of the time, including jitter. */
    double jitter = 0.5; /**< Times vary uniformly by up to this fraction in either direction; at least 0, below 1. */
};

} // namespace parsleyglade
