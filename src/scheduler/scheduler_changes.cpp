#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

/** Notes that something about the executor has changed. Call it after each change of a member that nextWake() or isSchedulable() reads; otherwise the
    executor is not polled or checked in time, or gets no work. Cheap enough to be called more than once. */
void scheduler::touch(executor_state &executor)
{
    if (!executor.isTouched) {
        executor.isTouched = true;
        m_touched.push_back(&executor);
    }
}

/** Puts the executors that have changed where they now belong: into the index of those that accept work, and into the queue of those that are due. */
void scheduler::refreshTouched(time_point now)
{
    for (executor_state *executor : std::exchange(m_touched, {})) {
        ++m_counters.executorVisits;
        executor->isTouched = false;
        countLateStarts(*executor);
        if (executor->isSchedulable(now)) {
            m_capacity.update(*executor);
        } else {
            m_capacity.remove(*executor);
        }
        m_wakes.set(*executor, nextWake(*executor, now));
    }
}

/** Returns when the executor is next to be looked at, unless it changes before: for a check, a poll, the end of a time during which it gets no work, or
    to be forgotten. */
std::optional<time_point> scheduler::nextWake(const executor_state &executor, time_point now)
{
    std::optional<time_point> next;
    const auto consider = [&next](time_point time) {
        next = next ? std::min(*next, time) : time;
    };
    if (!executor.runs.empty() || !executor.lateStarts.isEmpty()) {
        consider(executor.nextCheck);
    }
    if (needsPoll(executor)) {
        consider(executor.nextPoll);
    }
    if (executor.avoidUntil > now) {
        consider(executor.avoidUntil);
    }
    if (isDroppable(executor)) {
        consider(executor.leaseExpiry + duration{1});
    }
    return next;
}

std::vector<std::string> scheduler::untrackedChanges(time_point now) const
{
    std::vector<std::string> untracked;
    for (const auto &[id, executor] : m_executors) {
        if (executor.isTouched) {
            continue;
        }
        const std::optional<time_point> next = nextWake(executor, now);
        const bool isDue = executor.wakeAt && *executor.wakeAt <= now;
        const bool isMissed = next && (!executor.wakeAt || *executor.wakeAt > *next);
        const bool isIndexed = m_capacity.contains(executor);
        const bool isMisplaced = isIndexed != executor.isSchedulable(now) && (isIndexed || !isDue);
        if (isMissed || isMisplaced) {
            untracked.push_back(id);
        }
    }
    return untracked;
}

/** Checks the executors that are due. Those that are due for a poll stay so until takePolls(). */
void scheduler::checkDueExecutors(time_point now)
{
    refreshTouched(now);
    for (executor_state *executor : m_wakes.due(now)) {
        ++m_counters.executorVisits;
        if (isDroppable(*executor) && now > executor->leaseExpiry) {
            dropExecutor(*executor);
            continue;
        }
        if (now >= executor->nextCheck) {
            checkExecutor(*executor, now);
        }
        touch(*executor);
    }
}

/** Whether the executor can be forgotten once its last lease has expired. */
bool scheduler::isDroppable(const executor_state &executor)
{
    return !executor.isListed && executor.runs.empty() && executor.lateStarts.isEmpty() && !executor.isPolling;
}

void scheduler::dropExecutor(executor_state &executor)
{
    m_capacity.remove(executor);
    m_wakes.set(executor, std::nullopt);
    std::erase(m_touched, &executor);
    const std::string id = executor.description.id; // the key must outlive the element
    m_executors.erase(id);
}

} // namespace parsleyglade
