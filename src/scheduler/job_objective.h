#pragma once

#include "scheduler/queue_configuration.h"
#include "scheduler/scheduled_job.h"

#include <cstdint>

namespace parsleyglade {

/** Time within which a job should finish, counted from its acceptance or its first due time, in milliseconds. */
std::int64_t objectiveMilliseconds(const scheduled_job &job, const queue_policy &queue);

/** Wall-clock time from which the objective of a job counts, in milliseconds. */
std::int64_t objectiveStart(const scheduled_job &job);

/** Declared run time of the longest chain of steps that begins with the given step, in milliseconds. */
std::int64_t pathFrom(const wire::work_record &work, int step);

} // namespace parsleyglade
