#include "scheduler/scheduler.h"

#include <algorithm>
#include <numeric>

namespace parsleyglade {

void scheduler::endRun(executor_state &executor, const finished_entry &entry, time_point now)
{
    if (entry.number <= executor.endApplied) {
        return;
    }
    if (executor.endApplied == executor.endRecorded) {
        m_unrecordedEnds.push_back(executor.description.id);
    }
    executor.endApplied = entry.number;

    const attached_run *known = findAttached(executor, entry.task, entry.run);
    const scheduled_run *run = known == nullptr ? nullptr : findRun(*known);
    if (run == nullptr) {
        return;
    }
    addTaskDecision("end", entry.task, executor.description.id,
                    decision_entry::input_list{{{"run", entry.run}, {"end", 0, name(entry.end)}, {"number", entry.number}}});
    noteStarted(executor, *known, *run);
    scheduled_job &job = *known->job;
    ++countersOf(job).ends.at(static_cast<std::size_t>(entry.end));
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(entry.task.step)];
    if (entry.end == run_end::done && !step.longRunning && run->phase == run_phase::running && run->startedAt != time_point{}) {
        const auto measured = std::chrono::duration_cast<std::chrono::milliseconds>(now - run->startedAt).count();
        m_runTimeRatios[job.work.queue].add(step.estimateMilliseconds, measured);
    }
    releaseRun(job, {entry.task, entry.run});
    applyEnd(job, entry.task, job.task(entry.task), entry, executor, now);
}

void scheduler::applyEnd(scheduled_job &job, const task_id &taskId, scheduled_task &task, const finished_entry &entry, executor_state &executor, time_point now)
{
    job.hasBegun = true;
    const wire::step_record &description = job.work.steps[static_cast<std::size_t>(taskId.step)];
    scheduled_step &step = job.occurrences[static_cast<std::size_t>(taskId.occurrence)].steps[static_cast<std::size_t>(taskId.step)];
    if (!entry.checkpoint.empty()) {
        for (scheduled_task &member : step.tasks) {
            if (description.gang || &member == &task) {
                member.checkpoint = entry.checkpoint;
            }
        }
    }

    if (entry.end == run_end::done && !description.longRunning) {
        executor.consecutiveFailures = 0;
        // The success of one member of a gang completes all its members.
        for (scheduled_task &member : step.tasks) {
            if ((description.gang || &member == &task) && !member.done) {
                member.done = true;
                ++step.doneCount;
                for (scheduled_run &copy : member.runs) {
                    if (!description.gang && mayExistOnExecutor(copy.phase)) {
                        stopRun(copy, now);
                    }
                }
            }
        }
        const bool isComplete = std::all_of(job.occurrences.begin(), job.occurrences.end(), [](const scheduled_occurrence &occurrence) {
            return std::all_of(occurrence.steps.begin(), occurrence.steps.end(), [](const scheduled_step &candidate) { return candidate.isDone(); });
        });
        if (isComplete && !isFinal(job.state)) {
            finish(job, work_state::completed, m_wallNow);
        }
        return;
    }

    if (entry.end != run_end::failed) {
        return;
    }
    countFailure(executor, job.id, now);
    // The members of a gang run and fail together, so that the first failed end of a run counts for all of them.
    const bool isCounted = description.gang
        && std::any_of(step.tasks.begin(), step.tasks.end(), [&](const scheduled_task &member) { return member.lastFailedRun == entry.run; });
    task.failures += isCounted ? 0 : 1;
    task.lastFailedRun = entry.run;
    task.notBefore = std::max(task.notBefore, now + m_settings.restartBackoff);
    if (!isFinal(job.state) && hasExhaustedAttempts(job, taskId)) {
        finish(job, work_state::failed, m_wallNow);
    }
}

/** Whether the failed runs of a task, or of its gang, have used up the attempts that the queue permits. False while the queue is not configured: the
    leader may not have a configuration yet, and a later one may permit more attempts. @see endExhaustedJobs() */
bool scheduler::hasExhaustedAttempts(const scheduled_job &job, const task_id &taskId)
{
    const wire::step_record &description = job.work.steps[static_cast<std::size_t>(taskId.step)];
    const scheduled_step &step = job.occurrences[static_cast<std::size_t>(taskId.occurrence)].steps[static_cast<std::size_t>(taskId.step)];
    int failures = step.tasks[static_cast<std::size_t>(taskId.index)].failures;
    if (description.gang) {
        failures = std::accumulate(step.tasks.begin(), step.tasks.end(), 0, [](int sum, const scheduled_task &member) { return sum + member.failures; });
    }
    if (description.longRunning || failures == 0) {
        return false;
    }
    const queue_policy *queue = queueOf(job);
    if (queue == nullptr) {
        addTaskDecision("attempts-unknown", taskId, {},
                        "failures=" + std::to_string(failures) + " queue=" + job.work.queue + " configuration=" + std::to_string(m_configuration.version));
        return false;
    }
    return failures >= std::max(queue->maximumAttempts, 1);
}

/** Ends the jobs whose failed runs have used up the attempts under the current configuration. */
void scheduler::endExhaustedJobs()
{
    const std::vector<scheduled_job *> active = m_active; // finish() removes jobs from it
    for (scheduled_job *job : active) {
        if (hasExhaustedTask(*job)) {
            finish(*job, work_state::failed, m_wallNow);
        }
    }
}

bool scheduler::hasExhaustedTask(const scheduled_job &job)
{
    for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        const auto &steps = job.occurrences[occurrence].steps;
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
                const bool hasFailed = steps[step].tasks[index].failures > 0 && !steps[step].tasks[index].done;
                if (hasFailed && hasExhaustedAttempts(job, {job.id, static_cast<int>(occurrence), static_cast<int>(step), static_cast<int>(index)})) {
                    return true;
                }
            }
        }
    }
    return false;
}

void scheduler::countFailure(executor_state &executor, const std::string &job, time_point now)
{
    if (executor.lastFailedJob == job) {
        return;
    }
    executor.lastFailedJob = job;
    if (++executor.consecutiveFailures >= m_settings.ejectionFailures) {
        addDecision("eject", {}, executor.description.id, "failures=" + std::to_string(executor.consecutiveFailures));
        executor.avoidUntil = now + m_settings.ejectionTime;
        executor.consecutiveFailures = m_settings.ejectionFailures - 1;
    }
}

} // namespace parsleyglade
