#pragma once

#include "core/time_types.h"
#include "placement/job_class.h"

#include <array>

namespace parsleyglade {

/** The job to be placed, and the mean run times by which the jobs already on the endpoints are weighted. */
struct placement_request
{
    job_class jobClass = job_class::short_job;
    duration waited{}; /**< Time since the job arrived. */
    std::array<duration, jobClassCount> meanRunTimes{}; /**< Mean run times of the pool's jobs by class. @see run_time_estimator::meanRunTime */
};

} // namespace parsleyglade
