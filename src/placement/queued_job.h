#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"
#include "placement/job_class.h"
#include "placement/urgency_class.h"

#include <cstdint>

namespace parsleyglade {

/** A job in an admission_queue. */
struct queued_job
{
    std::uint64_t id = 0; /**< Unique among the queued jobs. */
    caller_id caller{};
    urgency_class urgency = urgency_class::normal;
    job_class jobClass = job_class::short_job;
    duration expectedRun{}; /**< Expected run time. */
    time_point arrivedAt{};
    time_point deadline{}; /**< Time by which the job should have completed. */
};

} // namespace parsleyglade
