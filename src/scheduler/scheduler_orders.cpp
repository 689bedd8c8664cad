#include "scheduler/scheduler.h"

#include <algorithm>
#include <utility>

namespace parsleyglade {

namespace {

/** Describes a rejection and what was known of the executor, with its age. */
std::string describeRejection(const start_order &order, const order_response &response, const executor_state &executor, time_point now)
{
    const auto contactAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - executor.lastContactAt);
    return "run=" + std::to_string(order.run) + " result=" + std::string(name(response.result)) + " contact-ms=" + std::to_string(contactAge.count())
        + " runs=" + std::to_string(executor.runs.size()) + " host-up=" + std::to_string(executor.isHostUp ? 1 : 0)
        + (response.reason.empty() ? "" : " reason=\"" + response.reason + '"');
}

} // namespace

/** Sends the start order of a recorded run. Keeps it while the response to a poll that acknowledges ends is overdue: the executor may have started again, and
    would forget the end of this run if it received the poll after the order. */
void scheduler::startOrHold(const run_key &key, scheduled_run &run, time_point now)
{
    executor_state &executor = m_executors[run.executor];
    if (executor.isAcknowledgementOverdue(now)) {
        executor.heldStarts.push_back(key);
        return;
    }
    sendStart(key, run, now);
}

void scheduler::sendHeldStarts(executor_state &executor, time_point now)
{
    if (m_resigned) {
        return; // the successor finds that these runs were never started
    }
    for (const run_key &key : std::exchange(executor.heldStarts, {})) {
        if (scheduled_run *run = findRun(key)) {
            sendStart(key, *run, now);
        }
    }
}

void scheduler::sendStart(const run_key &key, scheduled_run &run, time_point now)
{
    executor_state &executor = m_executors[run.executor];
    scheduled_job &job = *findMutableJob(key.task.job);
    if (isFinal(job.state) || job.task(key.task).done || executor.description.boot != run.boot) {
        if (run.mayArriveLate) {
            stopRun(run, now); // an earlier order may still be carried out
        } else {
            releaseRun(key);
        }
        return;
    }

    if (!run.mayArriveLate && !executor.acceptsStarts()) {
        addTaskDecision("start-withdrawn", key.task, run.executor,
                        "run=" + std::to_string(key.run) + " listed=" + std::to_string(executor.isListed ? 1 : 0)
                            + " host-up=" + std::to_string(executor.isHostUp ? 1 : 0) + " failed-contacts=" + std::to_string(executor.failedContacts));
        releaseRun(key);
        return;
    }

    run.phase = run_phase::ordered;
    run.phaseStartedAt = now;
    run.orderedAt = now;
    ++run.startOrders;
    run.isOrderInFlight = true;
    executor.lateStarts.addSent(key, now + m_settings.lateOrderTimeout);
    countStart(job, now);
    start_order order{targetOf(executor), key.task, key.run, job.work.payload, job.task(key.task).checkpoint, {}, grantLease(executor, now)};
    addTaskDecision("start", key.task, run.executor, decision_entry::input_list{{{"run", key.run}, {"batch", static_cast<std::int64_t>(m_batch)}}});
    m_actions.emplace_back(std::move(order));
    executor.nextPoll = std::min(executor.nextPoll, now + m_settings.orderRetryDelay);
    touch(executor);
}

/** Marks the run as started. The start of a long-running task is recorded at once, since its job may not change again for a long time. */
void scheduler::confirmRun(scheduled_job &job, const task_id &taskId, scheduled_run &run)
{
    run.isConfirmed = true;
    job.hasBegun = true;
    if (job.work.steps[static_cast<std::size_t>(taskId.step)].longRunning) {
        markChanged(job);
    }
}

void scheduler::stopRun(scheduled_run &run, time_point now)
{
    if (run.phase == run_phase::stopping || run.phase == run_phase::stopped) {
        return;
    }
    run.phase = run_phase::stopping;
    run.phaseStartedAt = now;
    run.isOrderInFlight = false;
    executor_state &executor = m_executors[run.executor];
    executor.nextCheck = now; // the check sends the stop order
    touch(executor);
}

void scheduler::sendStop(const run_key &key, scheduled_run &run, time_point now)
{
    run.isOrderInFlight = true;
    run.phaseStartedAt = now;
    addTaskDecision("stop", key.task, run.executor, decision_entry::input_list{{{"run", key.run}}});
    m_actions.emplace_back(stop_order{targetOf(m_executors[run.executor]), key.task, key.run});
}

void scheduler::stopAllRuns(scheduled_job &job, time_point now)
{
    for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        auto &steps = job.occurrences[occurrence].steps;
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
                const std::vector<scheduled_run> runs = steps[step].tasks[index].runs;
                for (const scheduled_run &run : runs) {
                    const run_key key{{job.id, static_cast<int>(occurrence), static_cast<int>(step), static_cast<int>(index)}, run.run};
                    if (run.phase == run_phase::planned) {
                        releaseRun(key);
                    } else if (run.phase != run_phase::recording) {
                        stopRun(*findRun(key), now);
                    }
                }
            }
        }
    }
}

void scheduler::handleStartResponse(const start_order &order, const order_response &response, time_point sentAt, time_point now)
{
    const auto found = m_executors.find(order.target.executor);
    if (found == m_executors.end()) {
        return;
    }
    executor_state &executor = found->second;
    touch(executor);
    const run_key key{order.task, order.run};
    settleStart(executor, key, response.result, sentAt, now);
    if (!isUnsent(response.result) && !isFromKnownBoot(executor, response.clockMilliseconds, sentAt, now)) {
        executor.unattributedStartAt = now;
    }
    if (response.result == order_result::other_boot) {
        handleLostRuns(executor, run_loss::replaced, now);
        executor.isListed = false;
        return;
    }
    if (isFromLaterBoot(executor, response.clockMilliseconds, sentAt)) {
        noteUnnamedBoot(executor, response.clockMilliseconds, now);
    }
    if (!isUnsent(response.result) && response.result != order_result::unanswered) {
        executor.lastContactAt = now;
    }
    if (!isUnsent(response.result)) {
        noteGrant(executor, response.result != order_result::unanswered, sentAt, now);
    }
    if (sentAt >= executor.bootKnownAt) {
        updateClock(executor, response.clockMilliseconds, now);
        if (response.result == order_result::unreachable) {
            noteFailedContact(executor, response.result, now);
            executor.nextPoll = now;
        }
    }

    scheduled_run *run = findRun(key);
    if (run == nullptr || run->executor != order.target.executor || run->phase == run_phase::running) {
        return;
    }
    if (run->phase == run_phase::ordered || run->phase == run_phase::unanswered) {
        run->isOrderInFlight = false;
    }
    if (response.result == order_result::done) {
        if (run->phase == run_phase::ordered || run->phase == run_phase::unanswered) {
            run->phase = run_phase::running;
            run->phaseStartedAt = now;
            run->startedAt = sentAt;
            scheduled_job &job = *findMutableJob(order.task.job);
            confirmRun(job, order.task, *run);
            if (job.state == work_state::queued) {
                job.state = work_state::running;
            }
        }
        return;
    }

    if (isUnsent(response.result)) {
        ++countersOf(*findMutableJob(order.task.job)).undeliveredStarts;
    }
    addTaskDecision("start-rejected", order.task, executor.description.id, describeRejection(order, response, executor, now));
    handleRejectedStart(order, *run, response, now);
}

void scheduler::handleRejectedStart(const start_order &order, scheduled_run &run, const order_response &response, time_point now)
{
    executor_state &executor = m_executors[order.target.executor];
    const run_key key{order.task, order.run};
    switch (response.result) {
    case order_result::unanswered:
        if (!std::exchange(run.mayArriveLate, true)) {
            markChanged(*findMutableJob(key.task.job)); // a successor must know that the order is repeated
        }
        if (run.phase == run_phase::ordered) {
            run.phase = run_phase::unanswered;
            run.phaseStartedAt = now;
            executor.nextCheck = now;
        }
        return;
    case order_result::fenced:
        m_isDeposed = true;
        return;
    case order_result::superseded:
        run.phase = run_phase::stopped;
        run.phaseStartedAt = now;
        executor.nextPoll = std::min(executor.nextPoll, now);
        return;
    case order_result::not_sent:
    case order_result::unreachable:
        if (run.phase == run_phase::stopping || run.phase == run_phase::stopped) {
            return;
        }
        if (run.mayArriveLate) {
            // This order was not sent, but an earlier one may have been carried out, so the task may be running.
            run.phase = run_phase::unanswered;
            run.phaseStartedAt = now;
            executor.nextCheck = now;
            return;
        }
        break;
    default:
        break;
    }

    executor.avoidUntil = std::max(executor.avoidUntil, now + m_settings.placementBackoff);
    if (run.mayArriveLate) {
        stopRun(run, now);
        return;
    }
    delayTask(key, now + m_settings.restartBackoff);
    releaseRun(key);
}

void scheduler::handleStopResponse(const stop_order &order, const order_response &response, time_point sentAt, time_point now)
{
    const auto found = m_executors.find(order.target.executor);
    if (found == m_executors.end()) {
        return;
    }
    executor_state &executor = found->second;
    touch(executor);
    if (response.result == order_result::other_boot) {
        handleLostRuns(executor, run_loss::replaced, now);
        executor.isListed = false;
        return;
    }
    if (response.result == order_result::fenced) {
        m_isDeposed = true;
        return;
    }
    if (isFromLaterBoot(executor, response.clockMilliseconds, sentAt)) {
        noteUnnamedBoot(executor, response.clockMilliseconds, now);
    } else if (sentAt >= executor.bootKnownAt) {
        updateClock(executor, response.clockMilliseconds, now);
    }
    noteBlockingStop(executor, order, response, sentAt, now);

    scheduled_run *run = findRun(run_key{order.task, order.run});
    if (run == nullptr || run->phase != run_phase::stopping) {
        return;
    }
    run->isOrderInFlight = false;
    if (response.result == order_result::done) {
        run->phase = run_phase::stopped;
        run->phaseStartedAt = now;
        executor.nextPoll = std::min(executor.nextPoll, now);
    }
}

/** Delays the next start of a task until the given time at least, if the task still exists. */
void scheduler::delayTask(const run_key &key, time_point until)
{
    if (scheduled_task *task = findTask(key.task)) {
        task->notBefore = std::max(task->notBefore, until);
    }
}

void scheduler::repeatOrders(executor_state &executor, time_point now)
{
    blockLateStarts(executor, now);
    for (const attached_run &key : executor.runs) {
        scheduled_run *run = findRun(key);
        if (run == nullptr || run->isOrderInFlight) {
            continue;
        }
        const bool isDue = now - run->phaseStartedAt >= m_settings.orderRetryDelay;
        if (run->phase == run_phase::stopping && (isDue || run->phaseStartedAt == now || executor.failedContacts == 0)) {
            sendStop(key, *run, now);
        } else if (run->phase == run_phase::unanswered && isDue && executor.failedContacts == 0 && !executor.isAcknowledgementOverdue(now)) {
            sendStart(key, *run, now);
            return; // sendStart() may have changed executor.runs; the next decision handles the others
        }
    }
}

/** Returns how long a run may show no progress. Progress is reported in percent, so a long task shows some only now and then. */
duration scheduler::stallTimeoutOf(const attached_run &attached) const
{
    constexpr int stallShare = 10; // a tenth of the expected run time is ten percent of progress, or one of a task that is ten times as slow
    const std::int64_t estimate = attached.job->work.steps[static_cast<std::size_t>(attached.task.step)].estimateMilliseconds;
    const auto expected = std::chrono::duration_cast<duration>(std::chrono::milliseconds(estimate) * runTimeRatio(attached.job->work.queue));
    return std::max(m_settings.stallTimeout, expected / stallShare);
}

/** Stops runs that make no progress, and keeps new work from their executor for a while. */
void scheduler::stopStalledRuns(executor_state &executor, time_point now)
{
    for (const attached_run &key : executor.runs) {
        scheduled_run *run = findRun(key);
        const bool isLongRunning = key.job->work.steps[static_cast<std::size_t>(key.task.step)].longRunning;
        if (run == nullptr || isLongRunning || run->phase != run_phase::running || executor.failedContacts > 0) {
            continue;
        }
        const time_point lastProgress = std::max(run->progressAt, run->startedAt);
        if (executor.lastPollResponseAt - lastProgress > stallTimeoutOf(key)) {
            addTaskDecision("stop-stalled", key.task, executor.description.id, "run=" + std::to_string(key.run) + " progress=" + std::to_string(run->progress));
            executor.avoidUntil = now + m_settings.ejectionTime;
            stopRun(*run, now);
        }
    }
}

} // namespace parsleyglade
