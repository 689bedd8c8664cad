#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Progress in percent that a long-running task reports once its start-up is complete.
constexpr int startUpComplete = 100;

std::int64_t toMilliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/** Describes what an eviction relied on. @param permitted how many tasks may be unavailable; negative for no limit */
std::string describe(const step_availability &others, int permitted, duration leading)
{
    return "unavailable=" + std::to_string(others.unavailable) + " permitted=" + std::to_string(permitted)
        + " list-ms=" + std::to_string(toMilliseconds(others.oldestList)) + " leading-ms=" + std::to_string(toMilliseconds(leading));
}

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
    addDecision(isUp ? "host-up" : "host-not-up", {}, executor, "runs=" + std::to_string(found->second.runs.size()));
    touch(found->second);
}

bool scheduler::isEmpty(const std::string &executor) const
{
    const executor_state *state = findExecutor(executor);
    if (state == nullptr) {
        return executor.empty() || m_isRegistryKnown;
    }
    const bool isSilent = state->failedContacts > 0 || !state->isListed; // its runs count until their lease has expired
    return state->runs.empty() && (state->isSynchronised || isSilent);
}

/** Stops long-running tasks that fit elsewhere, and tasks that keep their progress in a checkpoint, as far as their step permits. Other tasks run to
    their end. */
void scheduler::evacuate(executor_state &executor, time_point now)
{
    const bool isJournalLate = m_isBatchUnconfirmed && now - m_batchTakenAt > m_settings.evictionBatchTimeout;
    if (m_configuration.version == 0 || isJournalLate) {
        return; // nothing that is stopped could be started elsewhere
    }
    const std::vector<attached_run> runs = executor.runs;
    for (const attached_run &key : runs) {
        scheduled_run *run = findRun(key);
        if (run == nullptr || run->phase != run_phase::running) {
            continue;
        }
        scheduled_job &job = *key.job;
        const wire::step_record &step = job.work.steps[static_cast<std::size_t>(key.task.step)];
        const bool keepsProgress = step.checkpointing && !step.gang && !job.task(key.task).checkpoint.empty();
        if (!step.longRunning && !keepsProgress) {
            continue;
        }
        const bool isLimited = step.maximumAway >= 0;
        const step_availability others = isLimited ? availabilityOfOthers(job, key.task, now) : step_availability{};
        const bool isPermitted = !isLimited || others.unavailable < step.maximumAway;
        if (isPermitted && (!step.longRunning || hasAlternativeExecutor(job, key.task, executor, now))) {
            addTaskDecision("evict", key.task, executor.description.id,
                            "run=" + std::to_string(key.run) + ' ' + describe(others, step.maximumAway, now - m_leadingSince));
            stopRun(*run, now);
        }
    }
}

/** Returns how old a list of runs may be that shows a task at work: in normal operation, the time from a poll to the response to the next one. */
duration scheduler::maximumListAge() const
{
    return 2 * (m_settings.pollWait + pollSpacing()) + m_settings.listDelay;
}

/** Returns the age of the list of runs that shows the task at work, its start-up complete; nothing if it may be unavailable. It may be on an executor that
    does not respond, or whose host is not up. A list that is too old, or that was made before the stop orders of the previous leader have taken effect,
    shows nothing: the executor rejects these orders only from its first response to this leader on. */
std::optional<duration> scheduler::findListAge(const wire::step_record &step, const scheduled_task &task, time_point now) const
{
    for (const scheduled_run &run : task.runs) {
        const executor_state *executor = findExecutor(run.executor);
        const bool isAtWork = run.phase == run_phase::running && (!step.longRunning || run.progress >= startUpComplete);
        if (!isAtWork || executor == nullptr || !executor->isHostUp || executor->failedContacts > 0) {
            continue;
        }
        const duration age = now - executor->bootSeenAt;
        const bool mayBeStopping = run.isRestored && executor->bootSeenAt < executor->synchronisedAt + m_settings.maximumStopTime;
        if (age <= maximumListAge() && !mayBeStopping) {
            return age;
        }
    }
    return std::nullopt;
}

/** Returns how many of the other tasks of the task's step are unavailable. */
step_availability scheduler::availabilityOfOthers(scheduled_job &job, const task_id &taskId, time_point now) const
{
    const wire::step_record &step = job.work.steps[static_cast<std::size_t>(taskId.step)];
    const scheduled_task *own = &job.task(taskId);
    step_availability others;
    for (const scheduled_task &task : job.occurrences[static_cast<std::size_t>(taskId.occurrence)].steps[static_cast<std::size_t>(taskId.step)].tasks) {
        if (&task == own || task.done) {
            continue;
        }
        const std::optional<duration> age = findListAge(step, task, now);
        others.unavailable += age ? 0 : 1;
        others.oldestList = std::max(others.oldestList, age.value_or(duration::zero()));
    }
    return others;
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
