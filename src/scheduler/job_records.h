#pragma once

#include "scheduler/scheduled_job.h"

#include <memory>
#include <optional>
#include <string>

namespace parsleyglade {

/** Creates a job whose tasks are all waiting. @pre findWorkFault(work) returns nothing */
std::unique_ptr<scheduled_job> makeJob(std::string id, const wire::work_record &work);

/** Returns the declared run time of the longest chain of dependent steps. */
duration computeCriticalPath(const wire::work_record &work);

/** Returns the number of steps of the longest chain of dependent steps by declared run time, which start one after the other. Of several chains with the
    longest run time, the one with the most steps counts. */
int countStartsInSequence(const wire::work_record &work);

/** Validates a job description. Returns the reason why it can never run, or nothing if it is valid. */
std::optional<std::string> findWorkFault(const wire::work_record &work);

/** Converts the progress of a job to its journal record. Planned runs are included, because a run is recorded before it is ordered.
    @param resigned when the leader resigned, after which it sends no orders; nothing while it leads */
wire::progress_record toProgress(const scheduled_job &job, std::optional<time_point> resigned);

/** Applies recorded progress to a newly made job. Its runs get the phase `restored`. Entries for tasks that the job does not have are ignored. */
void applyProgress(scheduled_job &job, const wire::progress_record &progress);

} // namespace parsleyglade
