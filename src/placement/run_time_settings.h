#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Settings of run_time_estimator. */
struct run_time_settings
{
    double minimumGain = 0.05; /**< Minimum weight of a new observation, 0 to 1. Higher values follow changes faster but are noisier. */
    duration observationHalfLife = std::chrono::minutes{10}; /**< Age at which earlier observations have half their weight. */
    double longFactor = 10.0; /**< A job is long if it runs for more than this multiple of the pool's typical run time. */
    double typicalGain = 0.02; /**< Maximum change of the logarithm of the pool's typical run time by one observation. */
};

} // namespace parsleyglade
