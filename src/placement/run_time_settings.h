#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Settings of run_time_estimator. */
struct run_time_settings
{
    double minimumGain = 0.05; /**< Least weight of a new observation, 0 to 1. Higher follows changes faster but is noisier. */
    duration observationHalfLife = std::chrono::minutes{10}; /**< Age at which earlier observations count half as much against a new one. */
    double longFactor = 10.0; /**< A route is long when it runs more than this many times the pool's typical run time. */
    double typicalGain = 0.02; /**< Step of the pool's typical run time, as a logarithm, for each observation. */
};

} // namespace parsleyglade
