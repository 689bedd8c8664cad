#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Progress in percent that a long-running task reports once its start-up is complete.
constexpr int startUpComplete = 100;

} // namespace

void scheduler::setEvacuating(const std::string &executor, bool isEvacuating)
{
    const auto found = m_executors.find(executor);
    if (found != m_executors.end()) {
        found->second.isEvacuating = isEvacuating;
        found->second.nextCheck = m_now;
        touch(found->second);
    }
}

void scheduler::setHostUp(const std::string &executor, bool isUp, time_point requestedAt)
{
    const auto found = m_executors.find(executor);
    if (found == m_executors.end() || found->second.isHostUp == isUp || requestedAt < found->second.bootKnownAt) {
        return;
    }
    found->second.isHostUp = isUp;
    addDecision(isUp ? "host-up" : "host-not-up", {}, {}, executor, "runs=" + std::to_string(found->second.runs.size()));
    touch(found->second);
}

bool scheduler::isEmpty(const std::string &executor) const
{
    const executor_state *state = findExecutor(executor);
    return state == nullptr || state->runs.empty();
}

/** Stops long-running tasks that may be unavailable and fit elsewhere, and tasks that keep their progress in a checkpoint. Other tasks run to
    their end. */
void scheduler::evacuate(executor_state &executor, time_point now)
{
    if (m_configuration.version == 0) {
        return; // nothing that is stopped could be started elsewhere
    }
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

/** Whether the task has completed its start-up on an executor that responds to polls and whose host is up. On another one it may have died. */
bool scheduler::isAvailable(const scheduled_task &task) const
{
    return std::any_of(task.runs.begin(), task.runs.end(), [this](const scheduled_run &run) {
        const executor_state *executor = findExecutor(run.executor);
        return run.phase == run_phase::running && run.progress >= startUpComplete && executor != nullptr && executor->isHostUp && executor->failedContacts == 0;
    });
}

/** Whether stopping the task keeps its step within its permitted number of unavailable tasks; a negative number means no limit. */
bool scheduler::isDisruptionAllowed(scheduled_job &job, const task_id &taskId)
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(taskId.step)];
    if (step.maximumAway < 0) {
        return true;
    }
    const auto &tasks = job.occurrences[static_cast<std::size_t>(taskId.occurrence)].steps[static_cast<std::size_t>(taskId.step)].tasks;
    const scheduled_task *own = &job.task(taskId);
    const auto unavailable = std::count_if(tasks.begin(), tasks.end(), [&, this](const scheduled_task &task) { return &task != own && !isAvailable(task); });
    return unavailable < step.maximumAway;
}

bool scheduler::hasAlternativeExecutor(scheduled_job &job, const task_id &taskId, const executor_state &from, time_point now)
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(taskId.step)];
    m_capacity.noteDemand(from.description.service, reservedBy(step).memoryMegabytes);
    const capacity_index::entries &executors = m_capacity.ofService(from.description.service);
    return std::any_of(executors.lower_bound(reservedBy(step).cpuMillicores), executors.end(), [&](const capacity_index::entry &entry) {
        ++m_counters.candidateVisits;
        return entry.executor != &from && entry.executor->isSchedulable(now) && canRun(*entry.executor, step, taskId);
    });
}

} // namespace parsleyglade
