#include "scheduler/job_objective.h"

#include <algorithm>

namespace parsleyglade {

std::int64_t objectiveMilliseconds(const scheduled_job &job, const queue_policy &queue)
{
    const auto criticalPath = std::chrono::duration_cast<std::chrono::milliseconds>(job.criticalPath).count();
    return static_cast<std::int64_t>(queue.stretch * static_cast<double>(criticalPath)) + queue.targetMilliseconds;
}

std::int64_t objectiveStart(const scheduled_job &job)
{
    return std::max(job.work.acceptedMilliseconds, job.work.repeatCount > 0 ? job.work.startAtMilliseconds : 0);
}

std::int64_t pathFrom(const wire::work_record &work, int step)
{
    // By step, the longest chain from the given step to it; negative where there is none. A step comes after those that it waits for.
    std::vector<std::int64_t> paths(work.steps.size(), -1);
    const auto first = static_cast<std::size_t>(step);
    paths[first] = work.steps[first].estimateMilliseconds;
    std::int64_t longest = paths[first];
    for (std::size_t number = first + 1; number < work.steps.size(); ++number) {
        for (const int before : work.steps[number].after) {
            const std::int64_t path = paths[static_cast<std::size_t>(before)];
            paths[number] = path < 0 ? paths[number] : std::max(paths[number], path + work.steps[number].estimateMilliseconds);
        }
        longest = std::max(longest, paths[number]);
    }
    return longest;
}

} // namespace parsleyglade
