#pragma once

#include "deployment.h"
#include "model_job.h"
#include "workload_settings.h"

#include <cstdint>
#include <vector>

namespace parsleyglade {

/**
 * All jobs of a run in order of arrival, by Poisson arrivals with the rate of the moment.
 *
 * Short and long jobs come from separate random streams, so a run without long jobs has the same short jobs as the run with them.
 */
std::vector<model_job> makeWorkload(const deployment &model, const workload_settings &settings, std::uint64_t seed);

} // namespace parsleyglade
