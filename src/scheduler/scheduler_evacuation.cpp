#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr int startUpComplete = 100; // progress of a long-running task that has finished its start-up

} // namespace

void scheduler::setEvacuating(const std::string &executor, bool isEvacuating)
{
    const auto found = m_executors.find(executor);
    if (found != m_executors.end()) {
        found->second.isEvacuating = isEvacuating;
        found->second.nextCheck = m_now;
    }
}

bool scheduler::isEmpty(const std::string &executor) const
{
    const executor_state *state = findExecutor(executor);
    return state == nullptr || state->runs.empty();
}

/** Stops what can be stopped without loss: long-running tasks that may be away, and tasks that keep their progress. Others run to their end. */
void scheduler::evacuate(executor_state &executor, time_point now)
{
    const std::vector<run_key> runs = executor.runs;
    for (const run_key &key : runs) {
        scheduled_run *run = findRun(key);
        if (run == nullptr || run->phase != run_phase::running) {
            continue;
        }
        scheduled_job &job = *findMutableJob(key.task.job);
        const wire::step_record &step = job.work.steps[static_cast<std::size_t>(key.task.step)];
        const bool keepsProgress = step.checkpointing && !step.gang && !job.task(key.task).checkpoint.empty();
        const bool mayStop = step.longRunning
            ? now >= m_evacuateFrom && isDisruptionAllowed(job, key.task) && hasAlternativeExecutor(job, key.task, executor, now)
            : keepsProgress;
        if (mayStop) {
            addDecision("evict", key.task.job, toText(key.task), executor.description.id, "run=" + std::to_string(key.run));
            stopRun(*run, now);
        }
    }
}

/** Whether the task is at work on an executor that answers; one that has gone silent may have died with it. */
bool scheduler::isAvailable(const scheduled_task &task) const
{
    return std::any_of(task.runs.begin(), task.runs.end(), [this](const scheduled_run &run) {
        const executor_state *executor = findExecutor(run.executor);
        return run.phase == run_phase::running && run.progress >= startUpComplete && executor != nullptr && executor->failedPolls == 0;
    });
}

bool scheduler::isDisruptionAllowed(scheduled_job &job, const task_id &which)
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(which.step)];
    if (step.maximumAway < 0) {
        return true;
    }
    const auto &tasks = job.occurrences[static_cast<std::size_t>(which.occurrence)].steps[static_cast<std::size_t>(which.step)].tasks;
    const scheduled_task *own = &job.task(which);
    const auto away = std::count_if(tasks.begin(), tasks.end(), [&, this](const scheduled_task &task) { return &task != own && !isAvailable(task); });
    return away < step.maximumAway;
}

bool scheduler::hasAlternativeExecutor(scheduled_job &job, const task_id &which, const executor_state &from, time_point now)
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(which.step)];
    return std::any_of(m_executors.begin(), m_executors.end(), [&](const auto &entry) {
        const executor_state &executor = entry.second;
        return &executor != &from && executor.description.service == from.description.service && executor.isSchedulable(now) && canTake(executor, step, which);
    });
}

} // namespace parsleyglade
