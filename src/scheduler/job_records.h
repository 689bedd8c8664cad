#pragma once

#include "scheduler/scheduled_job.h"

#include <memory>
#include <optional>
#include <string>

namespace parsleyglade {

/** A job with all its tasks waiting. @pre findWorkFault(work) finds none */
std::unique_ptr<scheduled_job> makeJob(std::string id, const wire::work_record &work);

/** Why the work can never be run as it is described; nothing when it can be. */
std::optional<std::string> findWorkFault(const wire::work_record &work);

/** The progress of a job for the journal. Runs that are planned are included: they are recorded before they are ordered.
    @param resigned when the leader gave its last order; nothing while it leads */
wire::progress_record toProgress(const scheduled_job &job, std::optional<time_point> resigned);

/** Puts recorded progress into a new job. Runs become restored. Entries outside the job's tasks are ignored. */
void applyProgress(scheduled_job &job, const wire::progress_record &progress);

} // namespace parsleyglade
