#pragma once

#include "core/time_types.h"
#include "placement/job_class.h"

#include <array>

namespace parsleyglade {

/** The job to be placed, and the pool's mean run times by which work of known class is weighed. */
struct placement_request
{
    job_class jobClass = job_class::short_job;
    duration waited{}; /**< Time since the job arrived. */
    std::array<duration, jobClassCount> meanRunTimes{}; /**< By class. @see run_time_estimator::meanRunTime */
};

} // namespace parsleyglade
