#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// An answer that was overtaken by a later one tells a time that is older by less than this, in milliseconds.
constexpr std::int64_t clockSlack = 3000;

std::string describeOrder(const std::string &result, int run)
{
    return "run=" + std::to_string(run) + " result=" + result;
}

} // namespace

void scheduler::sendStart(const run_key &key, scheduled_run &run, time_point now)
{
    executor_state &executor = m_executors[run.executor];
    scheduled_job &job = *findMutableJob(key.task.job);
    if (isFinal(job.state) || job.task(key.task).done || executor.description.boot != run.boot) {
        releaseRun(key);
        return;
    }

    run.phase = run_phase::ordered;
    run.since = now;
    run.orderedAt = now;
    run.orderOutstanding = true;
    start_order order{targetOf(executor), key.task, key.run, job.work.payload, job.task(key.task).checkpoint, {}, grantLease(executor, now)};
    note("start", key.task.job, toText(key.task), run.executor, "run=" + std::to_string(key.run) + " batch=" + std::to_string(m_batch));
    m_actions.emplace_back(std::move(order));
    executor.nextLook = std::min(executor.nextLook, now + m_settings.orderRetry);
}

/** Records at once that a long-running task has begun, since its job may not change again for long. */
void scheduler::confirmRun(scheduled_job &job, const task_id &which, scheduled_run &run)
{
    run.isConfirmed = true;
    job.hasBegun = true;
    if (job.work.steps[static_cast<std::size_t>(which.step)].longRunning) {
        markChanged(job);
    }
}

void scheduler::stopRun(scheduled_run &run, time_point now)
{
    if (run.phase == run_phase::stopping || run.phase == run_phase::stopped) {
        return;
    }
    run.phase = run_phase::stopping;
    run.since = now;
    run.orderOutstanding = false;
    m_executors[run.executor].nextCheck = now; // sends the order
}

void scheduler::sendStop(const run_key &key, scheduled_run &run, time_point now)
{
    run.orderOutstanding = true;
    run.since = now;
    note("stop", key.task.job, toText(key.task), run.executor, "run=" + std::to_string(key.run));
    m_actions.emplace_back(stop_order{targetOf(m_executors[run.executor]), key.task, key.run});
}

void scheduler::stopAll(scheduled_job &job, time_point now)
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

void scheduler::startAnswered(const start_order &order, const order_answer &answer, time_point since, time_point now)
{
    const auto found = m_executors.find(order.target.executor);
    if (found == m_executors.end()) {
        return;
    }
    executor_state &executor = found->second;
    if (answer.result == order_result::other_boot) {
        loseRuns(executor, run_loss::replaced, now);
        executor.isListed = false;
        return;
    }
    const bool clockBeganAnew = answer.clockMilliseconds > 0 && answer.clockMilliseconds + clockSlack < executor.clockMilliseconds;
    if (clockBeganAnew) {
        // A new boot that the registry does not show yet; its ends are numbered anew.
        executor.isSynchronised = false;
        executor.endSeen = executor.endRecorded = executor.endAcknowledged = 0;
        executor.nextLook = now;
    }
    learnClock(executor, answer.clockMilliseconds, now);

    const run_key key{order.task, order.run};
    if (answer.result == order_result::unanswered) {
        const bool isForThisBoot = since >= executor.bootKnownAt;
        executor.floating.push_back({key, since + m_settings.lateOrderLimit, isForThisBoot, {}});
    }
    scheduled_run *run = findRun(key);
    if (run == nullptr || run->executor != order.target.executor || run->phase == run_phase::running) {
        return;
    }
    if (run->phase == run_phase::ordered || run->phase == run_phase::unanswered) {
        run->orderOutstanding = false;
    }
    if (answer.result == order_result::done) {
        if (run->phase == run_phase::ordered || run->phase == run_phase::unanswered) {
            run->phase = run_phase::running;
            run->since = now;
            run->startedAt = since;
            scheduled_job &job = *findMutableJob(order.task.job);
            confirmRun(job, order.task, *run);
            if (job.state == work_state::queued) {
                job.state = work_state::running;
            }
        }
        return;
    }

    note("start-rejected", order.task.job, toText(order.task), executor.description.id, describeOrder(std::string(name(answer.result)), order.run));
    settleRejectedStart(order, *run, answer, now);
}

void scheduler::settleRejectedStart(const start_order &order, scheduled_run &run, const order_answer &answer, time_point now)
{
    executor_state &executor = m_executors[order.target.executor];
    const run_key key{order.task, order.run};
    switch (answer.result) {
    case order_result::unanswered:
        run.mayArriveLate = true;
        if (run.phase == run_phase::ordered) {
            run.phase = run_phase::unanswered;
            run.since = now;
        }
        return;
    case order_result::fenced:
        m_isDeposed = true;
        return;
    case order_result::superseded:
        run.phase = run_phase::stopped;
        run.since = now;
        executor.nextLook = std::min(executor.nextLook, now);
        return;
    case order_result::not_sent:
        if (run.mayArriveLate) {
            // Says nothing of the earlier order, which may have been carried out: the task may be at work.
            run.phase = run_phase::unanswered;
            run.since = now;
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
    findMutableJob(order.task.job)->task(order.task).notBefore = now + m_settings.restartBackoff;
    releaseRun(key);
}

void scheduler::stopAnswered(const stop_order &order, const order_answer &answer, time_point now)
{
    const auto found = m_executors.find(order.target.executor);
    if (found == m_executors.end()) {
        return;
    }
    if (answer.result == order_result::other_boot) {
        loseRuns(found->second, run_loss::replaced, now);
        found->second.isListed = false;
        return;
    }
    if (answer.result == order_result::fenced) {
        m_isDeposed = true;
        return;
    }
    learnClock(found->second, answer.clockMilliseconds, now);
    for (floating_order &floating : found->second.floating) {
        if (floating.run == run_key{order.task, order.run}) {
            if (answer.result == order_result::done && !floating.isBlocked) {
                floating.isBlocked = true;
                delayTask(floating.run, now + m_settings.stopSettle); // it may have arrived before the stop
            }
        }
    }

    scheduled_run *run = findRun({order.task, order.run});
    if (run == nullptr || run->phase != run_phase::stopping) {
        return;
    }
    run->orderOutstanding = false;
    if (answer.result == order_result::done) {
        run->phase = run_phase::stopped;
        run->since = now;
        found->second.nextLook = std::min(found->second.nextLook, now);
    }
}

/** Sets the earliest time of the task's next start, if it still exists. */
void scheduler::delayTask(const run_key &key, time_point until)
{
    if (scheduled_task *task = findTask(key.task)) {
        task->notBefore = until;
    }
}

/** Stops runs whose start order may still reach this boot, which does not know that they are over. */
void scheduler::blockFloating(executor_state &executor, time_point now)
{
    std::erase_if(executor.floating, [now](const floating_order &order) { return now > order.until; });
    for (floating_order &order : executor.floating) {
        if (!order.isBlocked && now - order.sentAt >= m_settings.orderRetry) {
            order.sentAt = now;
            note("block-late-start", order.run.task.job, toText(order.run.task), executor.description.id, "run=" + std::to_string(order.run.run));
            m_actions.emplace_back(stop_order{targetOf(executor), order.run.task, order.run.run});
        }
    }
}

void scheduler::repeatOrders(executor_state &executor, time_point now)
{
    blockFloating(executor, now);
    for (const run_key &key : executor.runs) {
        scheduled_run *run = findRun(key);
        if (run == nullptr || run->orderOutstanding) {
            continue;
        }
        const bool isDue = now - run->since >= m_settings.orderRetry;
        if (run->phase == run_phase::stopping && (isDue || run->since == now || executor.failedLooks == 0)) {
            sendStop(key, *run, now);
        } else if (run->phase == run_phase::unanswered && isDue && executor.failedLooks == 0) {
            sendStart(key, *run, now);
            return; // the book may have changed; the others follow with the next decision
        }
    }
}

/** Stops tasks that stand still, and gives their executor no work for a while. */
void scheduler::stopStalled(executor_state &executor, time_point now)
{
    for (const run_key &key : executor.runs) {
        scheduled_run *run = findRun(key);
        const bool lasts = findMutableJob(key.task.job)->work.steps[static_cast<std::size_t>(key.task.step)].longRunning;
        if (run == nullptr || lasts || run->phase != run_phase::running || executor.failedLooks > 0) {
            continue;
        }
        const time_point lastProgress = std::max(run->progressAt, run->startedAt);
        if (executor.lookAnsweredAt - lastProgress > m_settings.stallLimit) {
            note("stop-stalled", key.task.job, toText(key.task), executor.description.id,
                 "run=" + std::to_string(key.run) + " progress=" + std::to_string(run->progress));
            executor.avoidUntil = now + m_settings.ejection;
            stopRun(*run, now);
        }
    }
}

} // namespace parsleyglade
