#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

/** Takes note of the outcome of a start order. */
void scheduler::settleStart(executor_state &executor, const run_key &key, order_result result, time_point sentAt, time_point now)
{
    if (result == order_result::unanswered) {
        executor.lateStarts.settleUnanswered(key, sentAt + m_settings.lateOrderTimeout, sentAt >= executor.bootKnownAt);
        executor.nextCheck = now;
        return;
    }
    const std::optional<time_point> until = executor.lateStarts.settle(key);
    if (!executor.lateStarts.findExpiry(key)) {
        m_lateStartRecords.remove(key);
    }
    scheduled_task *task = findTask(key.task);
    if (until && task != nullptr && task->notBefore == *until) {
        task->notBefore = now; // the order can't be carried out later
    }
}

/** Takes note that a list has the run. If only one order to start it was sent, that one can't be carried out later. */
void scheduler::noteStarted(executor_state &executor, const run_key &key, const scheduled_run &run)
{
    if (run.startOrders == 1) {
        executor.lateStarts.removeCarriedOut(key);
    }
}

/** Takes note that a run is given up or has ended. An order to start it may still be carried out, by a later boot if not by this one. */
void scheduler::giveUpStarts(executor_state &executor, const run_key &key)
{
    const std::optional<time_point> until = executor.lateStarts.findExpiry(key);
    if (!until || *until < m_now) {
        return;
    }
    executor.lateStarts.giveUp(key);
    m_lateStartRecords.add({executor.description.id, executor.description.boot, key, *until});
    executor.nextCheck = m_now; // the check sends the stop order
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*until - m_now);
    addTaskDecision("late-start-remains", key.task, executor.description.id,
                    "run=" + std::to_string(key.run) + " forMs=" + std::to_string(left.count()) + " boot=" + std::to_string(executor.description.boot));
}

/** Takes over the orders of earlier leaders whose runs are over. */
void scheduler::restoreLateStarts(time_point now)
{
    for (const restored_late_start &order : m_lateStartRecords.takeRestored(now)) {
        executor_state &executor = m_executors[order.executor];
        executor.description.id = order.executor;
        executor.description.boot = std::max(executor.description.boot, order.boot);
        executor.lateStarts.addRestored(order.run, order.until);
    }
}

/** Whether the run is to be alive no more, so that a stop of it does no harm, and no other stop of it may still be answered soon. */
bool scheduler::isOver(const run_key &key, time_point now)
{
    const scheduled_run *run = findRun(key);
    const bool isBeingStopped = run != nullptr && run->phase == run_phase::stopping && now - run->phaseStartedAt >= m_settings.overdueStopDelay;
    return run == nullptr || isBeingStopped || run->phase == run_phase::stopped;
}

/** Returns the time between two stops to an executor that may start again and carry out an order late. Grows with the number of such executors, so that
    the rate of these stops is bounded, and is longer for one that does not respond: each stop then costs a connection. */
duration scheduler::lateStopInterval(const executor_state &executor) const
{
    const duration interval = std::max(m_settings.lateStopInterval, m_settings.lateStopIntervalPerExecutor * m_lateStartExecutors);
    return executor.failedContacts > 0 ? interval * m_settings.silentStopFactor : interval;
}

std::optional<duration> scheduler::decisionDeadline() const
{
    return m_lateStartExecutors > 0 ? std::optional<duration>(m_settings.lateStopInterval) : std::nullopt;
}

/** Counts the executors with orders that may be carried out late. */
void scheduler::countLateStarts(executor_state &executor)
{
    const bool hasLateStarts = !executor.lateStarts.isEmpty();
    if (hasLateStarts != executor.isCountedAsLate) {
        m_lateStartExecutors += hasLateStarts ? 1 : -1;
        executor.isCountedAsLate = hasLateStarts;
    }
}

/** Sends stop orders for runs that are over although an order to start them may still be carried out. */
void scheduler::blockLateStarts(executor_state &executor, time_point now)
{
    executor.lateStarts.removeExpired(now);
    if (executor.lateStarts.isEmpty() || executor.description.address.empty()) {
        return;
    }
    const std::vector<run_key> runs
        = executor.lateStarts.takeStops(now, lateStopInterval(executor), [this, now](const run_key &key) { return isOver(key, now); });
    m_counters.lateStartStops += runs.size();
    for (const run_key &key : runs) {
        stop_order order{targetOf(executor), key.task, key.run};
        order.blocksLateStart = true;
        m_actions.emplace_back(std::move(order));
    }
}

/** Takes note of the response to the stop of a run that an order may still start. */
void scheduler::noteBlockingStop(executor_state &executor, const stop_order &order, const order_response &response, time_point sentAt, time_point now)
{
    if (response.result == order_result::unanswered && now - sentAt < lateStopInterval(executor)) {
        executor.lateStarts.hastenStop(); // the connection was one to an earlier boot, and the next one is up
        executor.nextCheck = now;
    }
    // The task waits until the order has expired all the same, because a still later boot would not know of the stop.
    if (response.result == order_result::done && executor.lateStarts.confirmStop({order.task, order.run})) {
        addTaskDecision("late-start-blocked", order.task, order.target.executor,
                        "run=" + std::to_string(order.run) + " clock=" + std::to_string(response.clockMilliseconds));
    }
}

} // namespace parsleyglade
