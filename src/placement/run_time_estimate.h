#pragma once

#include "core/time_types.h"
#include "placement/job_class.h"

#include <cstdint>

namespace parsleyglade {

/** Estimated run time of a route's next job, and how reliable the estimate is. */
struct run_time_estimate
{
    duration expected{}; /**< Mean observed run time, or the declared time before the first observation. */
    job_class jobClass = job_class::short_job; /**< Class of the route. */
    duration age{}; /**< Time since the newest observation; zero before the first. */
    std::uint64_t observations = 0; /**< Number of completed jobs observed; 0 means that the declared time is used. */
};

} // namespace parsleyglade
