#include "scheduler/scheduler.h"

#include <algorithm>
#include <iterator>

namespace parsleyglade {

namespace {

// An executor lists at most this many ends in one response, so a full list may be incomplete.
constexpr std::size_t maximumListedEnds = 500;

} // namespace

std::vector<poll_order> scheduler::takePolls(time_point now)
{
    std::vector<poll_order> orders;
    refreshTouched(now);
    for (executor_state *executor : m_wakes.due(now)) {
        ++m_counters.executorVisits;
        if (auto order = makePoll(*executor, now)) {
            orders.push_back(std::move(*order));
        }
    }
    return orders;
}

std::optional<poll_order> scheduler::takePoll(const std::string &id, time_point now)
{
    const auto found = m_executors.find(id);
    return found == m_executors.end() ? std::nullopt : makePoll(found->second, now);
}

std::optional<poll_order> scheduler::makePoll(executor_state &executor, time_point now)
{
    if (!needsPoll(executor) || now < executor.nextPoll) {
        return std::nullopt;
    }

    const bool hasUnacknowledged = executor.endRecorded > executor.endAcknowledged;
    poll_order order;
    order.target = targetOf(executor);
    // A boot that is not known yet would take the number as one of its own, and forget ends that this leader has not seen.
    const bool acknowledges = hasUnacknowledged && executor.mayAcknowledgeEnds();
    order.acknowledgedUpTo = acknowledges ? executor.endRecorded : 0;
    if (!executor.runs.empty() && executor.failedContacts == 0 && executor.clockMilliseconds > 0) {
        order.leaseEnd = grantLease(executor, now);
    }
    const bool listsEnds = executor.endApplied > executor.endRecorded || hasUnacknowledged != acknowledges;
    if (executor.isSynchronised && executor.failedContacts == 0 && !executor.runs.empty() && !listsEnds && !needsPromptList(executor)) {
        order.wait = m_settings.pollWait;
    }
    ++m_counters.pollOrders;
    executor.isPolling = true;
    executor.isPollGrantingLease = order.leaseEnd.has_value();
    executor.pollAcknowledges = order.acknowledgedUpTo;
    executor.isPollAcknowledging = acknowledges;
    executor.pollDueAt = now + order.wait + m_settings.overduePollDelay;
    touch(executor);
    return order;
}

/** Whether the executor is to be polled once its next poll is due. */
bool scheduler::needsPoll(const executor_state &executor)
{
    const bool hasUnacknowledged = executor.endRecorded > executor.endAcknowledged;
    const bool isSilent = executor.isListed && executor.isHostUp && executor.failedContacts > 0; // it gets work again once it responds
    const bool isNeeded = !executor.isSynchronised || !executor.runs.empty() || hasUnacknowledged || isSilent;
    return isNeeded && !executor.isPolling && !executor.description.address.empty();
}

duration scheduler::pollSpacing() const
{
    return m_settings.pollSpacing + m_settings.pollSpacingPerExecutor * static_cast<std::int64_t>(m_executors.size());
}

/** Whether the next list of the executor's runs decides something, so that the executor must not delay it until a run ends. */
bool scheduler::needsPromptList(const executor_state &executor)
{
    return std::any_of(executor.runs.begin(), executor.runs.end(), [](const attached_run &attached) {
        const scheduled_run *run = findRun(attached);
        return run != nullptr && (run->phase == run_phase::restored || run->phase == run_phase::unanswered || run->phase == run_phase::stopped);
    });
}

void scheduler::handlePollResponse(const std::string &id, const poll_response &response, time_point sentAt, time_point now)
{
    const auto found = m_executors.find(id);
    if (found == m_executors.end()) {
        return;
    }
    executor_state &executor = found->second;
    executor.isPolling = false;
    touch(executor);
    const bool wasAcknowledging = std::exchange(executor.isPollAcknowledging, false);
    if (wasAcknowledging && response.result == order_result::unanswered) {
        noteLateAcknowledgement(executor, sentAt);
    }
    applyPollResponse(executor, response, sentAt, now);
    if (wasAcknowledging) {
        sendHeldStarts(executor, now);
    }
}

/** Takes note of a poll without a response that acknowledges ends. It may still be carried out, also by a later boot. */
void scheduler::noteLateAcknowledgement(executor_state &executor, time_point sentAt)
{
    executor.lateAcknowledgementUntil = sentAt + m_settings.lateOrderTimeout;
    if (sentAt < executor.bootKnownAt) {
        executor.avoidUntil = std::max(executor.avoidUntil, executor.lateAcknowledgementUntil);
    }
}

void scheduler::applyPollResponse(executor_state &executor, const poll_response &response, time_point sentAt, time_point now)
{
    const std::string &id = executor.description.id;
    const bool isOfFormerBoot
        = response.boot < executor.description.boot || (response.boot == executor.description.boot && executor.hasUnnamedBoot && sentAt < executor.bootKnownAt);
    if (response.boot != 0 && isOfFormerBoot) {
        addDecision("stale-list", {}, id, "boot=" + std::to_string(response.boot) + " known=" + std::to_string(executor.description.boot));
        executor.nextPoll = now;
        return;
    }
    if (response.result == order_result::other_boot) {
        handleLostRuns(executor, run_loss::replaced, now);
        executor.isListed = false;
        return;
    }
    if (response.result == order_result::fenced) {
        m_isDeposed = true;
        return;
    }
    const bool isAnswered = response.result == order_result::done;
    if (executor.isPollGrantingLease && (isAnswered || response.result == order_result::unanswered)) {
        noteGrant(executor, isAnswered, sentAt, now);
    }
    if (response.result != order_result::done && sentAt < executor.bootKnownAt) {
        executor.nextPoll = now; // it was sent to an earlier boot
        return;
    }
    if (response.result != order_result::done) {
        noteFailedContact(executor, response.result, now);
        const bool isIdle = executor.isSynchronised && executor.runs.empty();
        executor.nextPoll = now + (isIdle ? m_settings.idlePollRetryDelay : m_settings.pollRetryDelay);
        return;
    }

    if (executor.failedContacts > 0) {
        addDecision("executor-back", {}, id, "failed=" + std::to_string(executor.failedContacts));
    }
    executor.failedContacts = 0;
    executor.lastPollResponseAt = now;
    executor.lastContactAt = now;
    if (response.boot > executor.description.boot) {
        handleNewBoot(executor, response.boot, now);
    }
    if (response.boot == executor.description.boot) {
        executor.bootSeenAt = std::max(executor.bootSeenAt, sentAt);
        executor.hasUnnamedBoot = false; // the known boot is still alive, and its clock was misread
    }
    updateClock(executor, response.clockMilliseconds, now);
    executor.endAcknowledged = std::max(executor.endAcknowledged, executor.pollAcknowledges);
    reconcile(executor, response, sentAt, now);
    if (!executor.isSynchronised) {
        executor.isSynchronised = true;
        executor.synchronisedAt = now;
    }

    // The executor would respond immediately again with ends that are not recorded yet.
    executor.nextPoll = now + (executor.endApplied > executor.endRecorded ? m_settings.orderRetryDelay : pollSpacing());
    paceFillers(executor, now);
}

/** Takes note of a poll without a response, or of an order that could not be delivered. The executor gets no new work until it responds to a poll. */
void scheduler::noteFailedContact(executor_state &executor, order_result result, time_point now)
{
    if (executor.failedContacts++ > 0) {
        return;
    }
    const auto contactAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - executor.lastContactAt);
    addDecision("executor-lost", {}, executor.description.id,
                "result=" + std::string(name(result)) + " runs=" + std::to_string(executor.runs.size()) + " contact-ms=" + std::to_string(contactAge.count()));
}

void scheduler::reconcile(executor_state &executor, const poll_response &response, time_point sentAt, time_point now)
{
    for (const finished_entry &entry : response.finished) {
        endRun(executor, entry, now);
    }

    for (attached_run &known : executor.runs) {
        known.isInList = false;
    }
    for (const running_entry &entry : response.running) {
        attached_run *known = findAttached(executor, entry.task, entry.run);
        scheduled_run *run = known == nullptr ? nullptr : findRun(*known);
        if (run == nullptr || !mayExistOnExecutor(run->phase)) {
            stopStray(executor, entry, now);
        } else {
            reconcileRunning(executor, *known, *run, entry, sentAt, now);
        }
        if (run != nullptr) {
            known->isInList = true;
            run->isListed = run->isListed || response.boot == executor.description.boot;
        }
    }
    if (response.finished.size() >= maximumListedEnds) {
        return;
    }
    std::vector<attached_run> missing; // a copy, since runs may be released
    std::copy_if(executor.runs.begin(), executor.runs.end(), std::back_inserter(missing), [](const attached_run &known) { return !known.isInList; });
    for (const attached_run &key : missing) {
        if (scheduled_run *run = findRun(key)) {
            reconcileMissing(executor, key, *run, sentAt, now);
        }
    }
}

/** Stops a run that is not to be on the executor. Its room is not reserved, so the executor gets no new runs until it can be gone. */
void scheduler::stopStray(executor_state &executor, const running_entry &entry, time_point now)
{
    delayTask({entry.task, entry.run}, now + m_settings.maximumStopTime);
    executor.avoidUntil = std::max(executor.avoidUntil, now + m_settings.maximumStopTime);
    addTaskDecision("stop-stray", entry.task, executor.description.id, "run=" + std::to_string(entry.run));
    m_actions.emplace_back(stop_order{targetOf(executor), entry.task, entry.run});
}

void scheduler::reconcileRunning(executor_state &executor, const attached_run &known, scheduled_run &run, const running_entry &entry, time_point sentAt,
                                 time_point now)
{
    noteStarted(executor, known, run);
    scheduled_job &job = *known.job;
    if (!entry.checkpoint.empty()) {
        job.task(entry.task).checkpoint = entry.checkpoint;
    }
    run.measured = entry.measured;
    if (entry.progress > run.progress) {
        run.progress = entry.progress;
        run.progressAt = now;
    }
    if (run.phase == run_phase::ordered || run.phase == run_phase::unanswered || run.phase == run_phase::restored) {
        if (run.phase == run_phase::restored) {
            run.startedAt = now;
        } else {
            run.startedAt = run.phaseStartedAt;
        }
        run.phase = run_phase::running;
        run.phaseStartedAt = sentAt;
        run.isOrderInFlight = false;
        confirmRun(job, entry.task, run);
        if (job.state == work_state::queued) {
            job.state = work_state::running;
        }
        if (isFinal(job.state) || job.task(entry.task).done) {
            stopRun(run, now);
        }
    }
}

void scheduler::reconcileMissing(executor_state &executor, const run_key &key, scheduled_run &run, time_point sentAt, time_point now)
{
    switch (run.phase) {
    case run_phase::restored:
        // This poll carried this leader's fencing token, so the executor rejects start orders of the previous leader from now on.
        addTaskDecision("never-started", key.task, executor.description.id, "run=" + std::to_string(key.run));
        releaseRun(key);
        return;
    case run_phase::stopped:
        if (run.phaseStartedAt < sentAt) {
            releaseRun(key);
        }
        return;
    case run_phase::running:
        if (run.phaseStartedAt < sentAt) {
            addTaskDecision("run-vanished", key.task, executor.description.id, "run=" + std::to_string(key.run));
            delayTask(key, now);
            releaseRun(key);
        }
        return;
    default:
        return;
    }
}

} // namespace parsleyglade
