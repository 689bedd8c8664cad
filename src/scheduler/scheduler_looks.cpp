#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// An executor lists at most this many ends in one answer; a full list may leave ends out.
constexpr std::size_t maximumListedEnds = 500;

} // namespace

std::vector<look_order> scheduler::takeLooks(time_point now)
{
    std::vector<look_order> orders;
    for (auto &[id, executor] : m_executors) {
        if (auto order = makeLook(executor, now)) {
            orders.push_back(std::move(*order));
        }
    }
    return orders;
}

std::optional<look_order> scheduler::takeLook(const std::string &id, time_point now)
{
    const auto found = m_executors.find(id);
    return found == m_executors.end() ? std::nullopt : makeLook(found->second, now);
}

std::optional<look_order> scheduler::makeLook(executor_state &executor, time_point now)
{
    const bool hasUnacknowledged = executor.endRecorded > executor.endAcknowledged;
    const bool isNeeded = !executor.isSynchronised || !executor.runs.empty() || hasUnacknowledged;
    if (executor.isLooking || now < executor.nextLook || !isNeeded || executor.description.address.empty()) {
        return std::nullopt;
    }

    look_order order;
    order.target = targetOf(executor);
    order.lastSeen = executor.endRecorded;
    if (!executor.runs.empty() && executor.failedLooks == 0 && executor.clockMilliseconds > 0) {
        order.leaseEnd = grantLease(executor, now);
    }
    const bool hasUnrecorded = executor.endSeen > executor.endRecorded;
    const bool hasSettling = std::any_of(executor.runs.begin(), executor.runs.end(), [&](const run_key &key) {
        const scheduled_run *run = findRun(key);
        return run != nullptr && run->phase != run_phase::running;
    });
    if (executor.isSynchronised && executor.failedLooks == 0 && !executor.runs.empty() && !hasUnrecorded && !hasSettling) {
        order.wait = m_settings.lookWait;
    }
    executor.isLooking = true;
    executor.lookAcknowledges = order.lastSeen;
    return order;
}

void scheduler::lookAnswered(const std::string &id, const look_answer &answer, time_point since, time_point now)
{
    const auto found = m_executors.find(id);
    if (found == m_executors.end()) {
        return;
    }
    executor_state &executor = found->second;
    executor.isLooking = false;
    if (answer.result == order_result::other_boot) {
        loseRuns(executor, run_loss::replaced, now);
        executor.isListed = false;
        return;
    }
    if (answer.result == order_result::fenced) {
        m_isDeposed = true;
        return;
    }
    if (answer.result != order_result::done) {
        if (executor.failedLooks++ == 0) {
            note("executor-lost", {}, {}, id, "result=" + std::string(name(answer.result)) + " runs=" + std::to_string(executor.runs.size()));
        }
        executor.nextLook = now + m_settings.lookRetry;
        return;
    }

    if (executor.failedLooks > 0) {
        note("executor-back", {}, {}, id, "failed=" + std::to_string(executor.failedLooks));
    }
    executor.failedLooks = 0;
    executor.lookAnsweredAt = now;
    if (answer.boot > executor.description.boot) {
        beginBoot(executor, answer.boot, now);
    }
    learnClock(executor, answer.clockMilliseconds, now);
    executor.endAcknowledged = std::max(executor.endAcknowledged, executor.lookAcknowledges);
    reconcile(executor, answer, since, now);
    executor.isSynchronised = true;

    // Ends that the journal does not have yet would end the next look at once.
    executor.nextLook = executor.endSeen > executor.endRecorded ? now + m_settings.orderRetry : now;
    paceFillers(executor, now);
}

void scheduler::reconcile(executor_state &executor, const look_answer &answer, time_point since, time_point now)
{
    for (const finished_entry &entry : answer.finished) {
        endRun(executor, entry, now);
    }

    const std::vector<run_key> known = executor.runs;
    for (const running_entry &entry : answer.running) {
        takeRunningEntry(executor, entry, since, now);
    }
    if (answer.finished.size() >= maximumListedEnds) {
        return;
    }
    for (const run_key &key : known) {
        const bool isListed = std::any_of(answer.running.begin(), answer.running.end(),
                                          [&](const running_entry &entry) { return entry.run == key.run && entry.task == key.task; });
        scheduled_run *run = findRun(key);
        if (!isListed && run != nullptr) {
            reconcileMissing(executor, key, *run, since, now);
        }
    }
}

void scheduler::takeRunningEntry(executor_state &executor, const running_entry &entry, time_point since, time_point now)
{
    const run_key key{entry.task, entry.run};
    scheduled_run *run = findRun(key);
    if (run == nullptr || run->executor != executor.description.id || !isOverThere(run->phase)) {
        delayTask(key, now + m_settings.stopSettle);
        note("stop-stray", entry.task.job, toText(entry.task), executor.description.id, "run=" + std::to_string(entry.run));
        m_actions.emplace_back(stop_order{targetOf(executor), entry.task, entry.run});
        return;
    }

    scheduled_job &job = *findMutableJob(entry.task.job);
    if (!entry.checkpoint.empty()) {
        job.task(entry.task).checkpoint = entry.checkpoint;
    }
    run->measured = entry.measured;
    if (entry.progress > run->progress) {
        run->progress = entry.progress;
        run->progressAt = now;
    }
    if (run->phase == run_phase::ordered || run->phase == run_phase::unanswered || run->phase == run_phase::restored) {
        if (run->phase == run_phase::restored) {
            run->startedAt = now;
        } else {
            run->startedAt = run->since;
        }
        run->phase = run_phase::running;
        run->since = since;
        run->orderOutstanding = false;
        confirmRun(job, entry.task, *run);
        if (job.state == work_state::queued) {
            job.state = work_state::running;
        }
        if (isFinal(job.state) || job.task(entry.task).done) {
            stopRun(*run, now);
        }
    }
}

void scheduler::reconcileMissing(executor_state &executor, const run_key &key, scheduled_run &run, time_point since, time_point now)
{
    switch (run.phase) {
    case run_phase::restored:
        // This look carried our token, so an order of the earlier leader can't be carried out any more.
        note("never-started", key.task.job, toText(key.task), executor.description.id, "run=" + std::to_string(key.run));
        releaseRun(key);
        return;
    case run_phase::stopped:
        if (run.since < since) {
            releaseRun(key);
        }
        return;
    case run_phase::running:
        if (run.since < since) {
            note("run-vanished", key.task.job, toText(key.task), executor.description.id, "run=" + std::to_string(key.run));
            findMutableJob(key.task.job)->task(key.task).notBefore = now;
            releaseRun(key);
        }
        return;
    default:
        return;
    }
}

} // namespace parsleyglade
