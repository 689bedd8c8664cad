#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

scheduled_task *scheduler::findTask(const task_id &taskId)
{
    scheduled_job *job = findMutableJob(taskId.job);
    return job == nullptr ? nullptr : findTask(*job, taskId);
}

scheduled_task *scheduler::findTask(scheduled_job &job, const task_id &taskId)
{
    if (taskId.occurrence < 0 || taskId.occurrence >= static_cast<int>(job.occurrences.size())) {
        return nullptr;
    }
    auto &steps = job.occurrences[static_cast<std::size_t>(taskId.occurrence)].steps;
    if (taskId.step < 0 || taskId.step >= static_cast<int>(steps.size())) {
        return nullptr;
    }
    auto &tasks = steps[static_cast<std::size_t>(taskId.step)].tasks;
    return taskId.index < 0 || taskId.index >= static_cast<int>(tasks.size()) ? nullptr : &tasks[static_cast<std::size_t>(taskId.index)];
}

scheduled_run *scheduler::findRun(const run_key &key)
{
    scheduled_job *job = findMutableJob(key.task.job);
    return job == nullptr ? nullptr : findRun(*job, key);
}

scheduled_run *scheduler::findRun(const attached_run &run)
{
    return findRun(*run.job, run);
}

attached_run *scheduler::findAttached(executor_state &executor, const task_id &task, int run)
{
    const auto found = std::find_if(executor.runs.begin(), executor.runs.end(),
                                    [&](const attached_run &candidate) { return candidate.run == run && candidate.task == task; });
    return found == executor.runs.end() ? nullptr : &*found;
}

scheduled_run *scheduler::findRun(scheduled_job &job, const run_key &key)
{
    scheduled_task *task = findTask(job, key.task);
    if (task == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(task->runs.begin(), task->runs.end(), [&](const scheduled_run &run) { return run.run == key.run; });
    return found == task->runs.end() ? nullptr : &*found;
}

void scheduler::attachRun(executor_state &executor, scheduled_job &job, const run_key &key)
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(key.task.step)];
    executor.used += reservedBy(step);
    job.team->used += usedBy(step);
    executor.runs.push_back({key, &job, false});
    touch(executor);
}

void scheduler::releaseRun(const run_key &key)
{
    if (scheduled_job *job = findMutableJob(key.task.job)) {
        releaseRun(*job, key);
    }
}

void scheduler::releaseRun(scheduled_job &job, const run_key &key)
{
    scheduled_run *run = findRun(job, key);
    if (run == nullptr) {
        return;
    }
    scheduled_task &task = job.task(key.task);
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(key.task.step)];
    const auto found = m_executors.find(run->executor);
    task.lastExecutor = run->executor;
    releaseCopy(job, *run, step);
    std::erase_if(task.runs, [&](const scheduled_run &candidate) { return candidate.run == key.run; });
    markChanged(job);

    // Last, because the key may be an element of this list.
    attached_run *attached = found == m_executors.end() ? nullptr : findAttached(found->second, key.task, key.run);
    if (attached != nullptr) {
        giveUpStarts(found->second, *attached);
        found->second.runs.erase(found->second.runs.begin() + (attached - found->second.runs.data()));
        found->second.used -= reservedBy(step);
        job.team->used -= usedBy(step);
        touch(found->second);
    }
}

void scheduler::decide(time_point now, wall_time wallNow)
{
    ++m_counters.rounds;
    measureDecisionInterval(now);
    measureStartDelay(now);
    m_now = now;
    m_wallNow = wallNow;
    checkDueExecutors(now);
    dropExpiredLeaseRecords(now);
    m_lateStartRecords.removeExpired(now);
    place(now, wallNow);
}

void scheduler::checkExecutor(executor_state &executor, time_point now)
{
    if (!executor.runs.empty() && executor.leaseExpiry != time_point{} && now > executor.leaseExpiry) {
        handleLostRuns(executor, run_loss::lapsed, now);
    }
    executor.nextCheck = now + m_settings.idleCheckInterval; // stopRun() brings the next check forward
    stopStalledRuns(executor, now);
    findCopies(executor, now);
    repeatOrders(executor, now);
    if (executor.isEvacuating) {
        evacuate(executor, now);
    }
    if (executor.isEvacuating || hasOrdersToRepeat(executor)) {
        executor.nextCheck = std::min(executor.nextCheck, now + m_settings.checkInterval);
    }
    if (!executor.lateStarts.isEmpty()) {
        executor.nextCheck = std::min(executor.nextCheck, now + lateStopInterval(executor));
    }
}

bool scheduler::hasOrdersToRepeat(const executor_state &executor)
{
    const auto mustRepeat = [](const attached_run &attached) {
        const scheduled_run *run = findRun(attached);
        return run != nullptr && (run->phase == run_phase::stopping || run->phase == run_phase::unanswered);
    };
    return std::any_of(executor.runs.begin(), executor.runs.end(), mustRepeat);
}

} // namespace parsleyglade
