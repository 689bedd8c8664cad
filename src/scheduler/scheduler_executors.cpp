#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

void scheduler::updateExecutor(const executor_description &description, time_point now)
{
    executor_state &executor = m_executors[description.id];
    if (description.boot < executor.description.boot) {
        return; // a delayed entry of an earlier boot
    }

    const bool isNewBoot = description.boot > executor.description.boot;
    if (isNewBoot) {
        handleNewBoot(executor, description.boot, now);
    }
    executor.description = description;
    executor.isListed = true;
    updateClock(executor, description.clockMilliseconds, now);
}

/** Handles a new boot of an executor. It has none of the earlier runs, and its end numbers and its clock restart. */
void scheduler::handleNewBoot(executor_state &executor, std::int64_t boot, time_point now)
{
    const bool isFirst = executor.description.boot == 0;
    executor.description.boot = boot;
    executor.bootKnownAt = now;
    if (!isFirst) {
        handleLostRuns(executor, run_loss::rebooted, now);
    }
    for (unanswered_start &order : executor.unansweredStarts) {
        order.isBlocked = false;
        order.sentAt = time_point{};
        delayTask(order.run, order.until);
    }
    blockLateStarts(executor, now);
    executor.clockMilliseconds = 0;
    executor.endApplied = 0;
    executor.endRecorded = 0;
    executor.endAcknowledged = 0;
    executor.isSynchronised = false;
    executor.failedPolls = 0;
    executor.consecutiveFailures = 0;
    executor.nextPoll = now;
    executor.nextCheck = now;
    executor.leaseExpiry = time_point{};
}

void scheduler::removeExecutor(const std::string &id)
{
    const auto found = m_executors.find(id);
    if (found != m_executors.end()) {
        found->second.isListed = false;
    }
}

order_target scheduler::targetOf(const executor_state &executor) const
{
    return {executor.description.id, executor.description.address, m_fence};
}

void scheduler::updateClock(executor_state &executor, std::int64_t clockMilliseconds, time_point now) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - executor.clockReadAt).count();
    const auto slowest = static_cast<std::int64_t>(static_cast<double>(elapsed) * m_settings.minimumClockRate);

    // Responses can arrive out of order; ignore an older reading.
    const bool isNewer = executor.clockMilliseconds == 0 || clockMilliseconds >= executor.clockMilliseconds + slowest;
    if (clockMilliseconds > 0 && isNewer) {
        executor.clockMilliseconds = clockMilliseconds;
        executor.clockReadAt = now;
    }
}

std::int64_t scheduler::grantLease(executor_state &executor, time_point now) const
{
    const duration granted = (now - executor.clockReadAt) + m_settings.lease;
    const auto longest = std::chrono::duration_cast<duration>(granted / m_settings.minimumClockRate);
    executor.leaseExpiry = std::max(executor.leaseExpiry, executor.clockReadAt + longest + m_settings.leaseExpiryMargin);
    return executor.clockMilliseconds + std::chrono::duration_cast<std::chrono::milliseconds>(granted).count();
}

bool scheduler::mayStillStart(const scheduled_run &run, run_loss loss, time_point now) const
{
    if (loss == run_loss::replaced) {
        return false;
    }
    return mayHaveStartInFlight(run) && now < run.orderedAt + m_settings.lateOrderTimeout;
}

void scheduler::handleLostRuns(executor_state &executor, run_loss loss, time_point now)
{
    const std::vector<run_key> runs = executor.runs;
    for (const run_key &key : runs) {
        scheduled_run *run = findRun(key);
        if (run == nullptr || !mayExistOnExecutor(run->phase)) {
            continue; // sendStart() releases a run that is still being recorded, because its boot no longer matches
        }
        if (mayStillStart(*run, loss, now)) {
            if (loss == run_loss::rebooted) {
                // Once the new boot has confirmed a stop of the run, it rejects a late start order.
                run->boot = executor.description.boot;
                run->phase = run_phase::stopping;
                run->phaseStartedAt = now;
                run->isOrderInFlight = false;
                executor.nextCheck = now;
            }
            continue;
        }
        addDecision("run-lost", key.task.job, toText(key.task), executor.description.id,
                    "run=" + std::to_string(key.run) + " loss=" + std::to_string(static_cast<int>(loss)));
        findMutableJob(key.task.job)->task(key.task).notBefore = now;
        releaseRun(key);
    }
}

void scheduler::dropIdleExecutors()
{
    std::erase_if(m_executors, [](const auto &entry) {
        const executor_state &executor = entry.second;
        return !executor.isListed && executor.runs.empty() && executor.unansweredStarts.empty() && !executor.isPolling;
    });
}

} // namespace parsleyglade
