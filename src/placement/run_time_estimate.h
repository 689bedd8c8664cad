#pragma once

#include "core/time_types.h"
#include "placement/job_class.h"

#include <cstdint>

namespace parsleyglade {

/** What is known about the run time of a route's next job. */
struct run_time_estimate
{
    duration expected{}; /**< Mean run time, or the declared time while nothing is learned. */
    job_class jobClass = job_class::short_job;
    duration age{}; /**< Time since the newest observation; zero when nothing is learned. */
    std::uint64_t observations = 0; /**< Completed jobs seen; 0 means that the declared time is used. */
};

} // namespace parsleyglade
