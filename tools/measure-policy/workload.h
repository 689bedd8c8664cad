#pragma once

#include "deployment.h"
#include "model_job.h"
#include "workload_settings.h"

#include <cstdint>
#include <vector>

namespace parsleyglade {

/**
 * Generates all jobs of a run in order of arrival: Poisson arrivals whose rate depends on whether the pool is in a burst.
 *
 * Short and long jobs use separate random number generators, so runs with and without long jobs have the same short jobs.
 */
std::vector<model_job> makeWorkload(const deployment &model, const workload_settings &settings, std::uint64_t seed);

} // namespace parsleyglade
