#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Readings of an executor's clock may differ from the exact time of the order by this much, in milliseconds.
constexpr std::int64_t clockRounding = 50;

// A registry entry and its reading of the clock may be this old when the leader learns of them, in milliseconds. The clock of a new boot starts near zero.
constexpr std::int64_t maximumReadingAge = 3000;

template <typename Duration> std::int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

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
    if (!executor.hasUnnamedBoot) {
        updateClock(executor, description.clockMilliseconds, now);
    }
    touch(executor);
}

/** Handles a new boot of an executor. Its end numbers and its clock restart. */
void scheduler::handleNewBoot(executor_state &executor, std::int64_t boot, time_point now)
{
    const bool isFirst = executor.description.boot == 0;
    executor.description.boot = boot;
    executor.bootKnownAt = now;
    executor.hasUnnamedBoot = false;
    if (!isFirst) {
        addDecision("new-boot", {}, executor.description.id, "boot=" + std::to_string(boot) + " runs=" + std::to_string(executor.runs.size()));
        handleRunsOfEarlierBoot(executor, now);
    }
    executor.lateStarts.startNewBoot();
    for (const late_start &order : executor.lateStarts.orders()) {
        delayTask(order.run, order.until);
    }
    blockLateStarts(executor, now); // at once, before any work
    if (!isFirst && executor.lastGrantAt > executor.bootSeenAt) {
        assumeLongestLease(executor, now);
    }
    if (executor.lateGrantUntil > now) {
        assumeLongestLease(executor, executor.lateGrantUntil);
    }
    if (executor.lateAcknowledgementUntil > now) {
        executor.avoidUntil = std::max(executor.avoidUntil, executor.lateAcknowledgementUntil); // it may make this boot forget ends
    }
    executor.lastGrantAt = time_point{};
    executor.bootSeenAt = time_point{};
    forgetEnds(executor);
    executor.clockMilliseconds = 0;
    executor.isHostUp = true;
    executor.isSynchronised = false;
    executor.failedContacts = 0;
    executor.consecutiveFailures = 0;
    executor.nextPoll = now;
    executor.nextCheck = now;
}

/** Decides about the runs of an executor that has restarted under its id. A run died with the earlier boot only if a list of that boot had it. Any
    other run may have been started on the new boot, which accepts orders that were meant for the earlier one; its next list tells. */
void scheduler::handleRunsOfEarlierBoot(executor_state &executor, time_point now)
{
    const std::vector<attached_run> runs = executor.runs;
    for (const attached_run &key : runs) {
        scheduled_run *run = findRun(key);
        if (run == nullptr || !mayExistOnExecutor(run->phase)) {
            continue; // sendStart() releases a run that is still being recorded, because its boot no longer matches
        }
        const bool mayStart = mayStillStart(*run, now);
        if (run->isListed && !mayStart) {
            loseRun(executor, key, "rebooted", now);
            continue;
        }
        run->boot = executor.description.boot;
        run->isListed = false;
        if (mayStart) {
            // Once the new boot has confirmed a stop of the run, it rejects a late start order.
            run->phase = run_phase::stopping;
            run->phaseStartedAt = now;
            run->isOrderInFlight = false;
        }
        addTaskDecision("run-kept", key.task, executor.description.id,
                        "run=" + std::to_string(key.run) + " phase=" + std::string(name(run->phase)) + " boot=" + std::to_string(run->boot));
        markChanged(*key.job);
    }
}

/** Forgets the numbers of the ends of an earlier boot, so that they acknowledge none of the next boot. */
void scheduler::forgetEnds(executor_state &executor)
{
    executor.endApplied = 0;
    executor.endRecorded = 0;
    executor.endAcknowledged = 0;
    executor.pollAcknowledges = 0;
    std::erase_if(m_recordingEnds, [&executor](const auto &recording) { return recording.first == executor.description.id; });
}

void scheduler::removeExecutor(const std::string &id)
{
    const auto found = m_executors.find(id);
    if (found != m_executors.end()) {
        executor_state &executor = found->second;
        const auto contactAge = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - executor.lastContactAt);
        addDecision("executor-removed", {}, id, "runs=" + std::to_string(executor.runs.size()) + " contact-ms=" + std::to_string(contactAge.count()));
        executor.isListed = false;
        touch(executor);
    }
}

void scheduler::confirmRegistry()
{
    m_isRegistryKnown = true;
}

bool scheduler::isRegistryKnown() const
{
    return m_isRegistryKnown;
}

/** Whether the registry has no entry of the executor, which has then left, or has been silent for three of its intervals. */
bool scheduler::isGone(const executor_state &executor) const
{
    return m_isRegistryKnown && !executor.isListed;
}

order_target scheduler::targetOf(const executor_state &executor) const
{
    return {executor.description.id, executor.description.address, m_fence, time_point::max(), executor.description.dataCentre};
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

/** Whether a response with this reading of the clock was certainly given by the known boot: the clock goes on from its last reading, and a later boot cannot
    have come so far since then. @param sentAt when the order was sent */
bool scheduler::isFromKnownBoot(const executor_state &executor, std::int64_t clockMilliseconds, time_point sentAt, time_point now) const
{
    if (clockMilliseconds == 0 || executor.clockMilliseconds == 0) {
        return false;
    }
    const std::int64_t latest = executor.clockMilliseconds + toMilliseconds(now - executor.clockReadAt) + maximumReadingAge;
    const std::int64_t latestOfNextBoot = maximumReadingAge + toMilliseconds(now - executor.clockReadAt);
    return clockMilliseconds >= earliestClock(executor, sentAt) && clockMilliseconds <= latest && clockMilliseconds > latestOfNextBoot;
}

/** Whether a response with this reading of the clock was certainly given by a later boot: its clock has started anew. A later boot whose clock is not behind
    holds no longer a lease than the known one would. @param sentAt when the order was sent */
bool scheduler::isFromLaterBoot(const executor_state &executor, std::int64_t clockMilliseconds, time_point sentAt) const
{
    return clockMilliseconds > 0 && executor.clockMilliseconds > 0 && clockMilliseconds < earliestClock(executor, sentAt);
}

/** Returns the earliest time that the clock of the known boot can show when an order is carried out that was sent at the given time. */
std::int64_t scheduler::earliestClock(const executor_state &executor, time_point sentAt) const
{
    const duration sinceReading = sentAt - executor.clockReadAt;
    const auto advance = sinceReading >= duration::zero() ? toMilliseconds(sinceReading * m_settings.minimumClockRate) : toMilliseconds(sinceReading);
    return executor.clockMilliseconds + advance - clockRounding;
}

/** Takes note of a later boot that no registry entry or list has named yet. Its ends are numbered from the start again, and it may hold the longest lease. */
void scheduler::noteUnnamedBoot(executor_state &executor, std::int64_t clockMilliseconds, time_point now)
{
    addDecision("clock-reset", {}, executor.description.id,
                "clock=" + std::to_string(clockMilliseconds) + " last=" + std::to_string(executor.clockMilliseconds)
                    + " age=" + std::to_string(toMilliseconds(now - executor.clockReadAt)) + " runs=" + std::to_string(executor.runs.size()));
    executor.hasUnnamedBoot = true;
    executor.bootKnownAt = now;
    executor.clockMilliseconds = clockMilliseconds;
    executor.clockReadAt = now;
    executor.isSynchronised = false;
    executor.nextPoll = now;
    forgetEnds(executor);
    assumeLongestLease(executor, now);
    executor.lateStarts.unblock();
    executor.nextCheck = now; // the check sends the stop orders
}

/** Returns the longest local time in which the clock of an executor advances by the lease. */
duration scheduler::longestLocalTime(duration lease) const
{
    return std::chrono::duration_cast<duration>(lease / m_settings.minimumClockRate);
}

std::int64_t scheduler::grantLease(executor_state &executor, time_point now) const
{
    const duration granted = (now - executor.clockReadAt) + m_settings.lease;
    executor.leaseExpiry = std::max(executor.leaseExpiry, executor.clockReadAt + longestLocalTime(granted) + m_settings.leaseExpiryMargin);
    executor.lastGrantAt = now;
    return executor.clockMilliseconds + std::chrono::duration_cast<std::chrono::milliseconds>(granted).count();
}

/** Assumes that the executor holds the longest lease that it grants. An order with a lease on the clock of an earlier boot gives it that: the time lies
    far ahead on the clock of the new boot. The lease is recorded, because a successor does not know of such orders.
    @param receivedBy when the executor received the order at the latest */
void scheduler::assumeLongestLease(executor_state &executor, time_point receivedBy)
{
    const time_point expiry = receivedBy + longestLocalTime(m_settings.maximumLease) + m_settings.leaseExpiryMargin;
    if (expiry <= executor.leaseExpiry) {
        return;
    }
    executor.leaseExpiry = expiry;
    const std::string &id = executor.description.id;
    m_leaseRecords[id] = {expiry, false};
    m_changedLeaseRecords.insert(id);
    addDecision("longest-lease", {}, id,
                "runs=" + std::to_string(executor.runs.size())
                    + " forMs=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(expiry - m_now).count()));
}

/** Takes note of the result of an order with a lease. One that was sent to an earlier boot may have reached the known one. */
void scheduler::noteGrant(executor_state &executor, bool isAnswered, time_point sentAt, time_point now)
{
    const time_point receivedBy = isAnswered ? now : sentAt + m_settings.lateOrderTimeout;
    if (!isAnswered) {
        executor.lateGrantUntil = std::max(executor.lateGrantUntil, receivedBy);
    }
    if (sentAt < executor.bootKnownAt) {
        assumeLongestLease(executor, receivedBy);
    }
}

/** Restores the leases that the previous leader has recorded. If it has resigned, it granted none after its last record of a lost executor. */
void scheduler::restoreLeases(time_point now, bool hasResigned)
{
    for (const auto &[id, record] : m_restoredLeases) {
        const time_point expiry = now + std::chrono::milliseconds{record.leaseMilliseconds} + m_settings.leaseExpiryMargin;
        const auto found = m_executors.find(id);
        if (found != m_executors.end()) {
            time_point &current = found->second.leaseExpiry;
            current = hasResigned && record.lost ? expiry : std::max(current, expiry);
            addDecision("lease-restored", {}, id,
                        "recordedMs=" + std::to_string(record.leaseMilliseconds) + " lost=" + std::to_string(record.lost ? 1 : 0)
                            + " forMs=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(current - now).count()));
        }
        m_leaseRecords[id] = {expiry, false};
        m_changedLeaseRecords.insert(id);
    }
    m_restoredLeases.clear();
}

/** Records for the successor how long the executors that do not answer this leader, or no longer do, may still hold a lease. Otherwise each change of leader
   would count a full lease anew, and their runs would not be given up while leaders change. */
void scheduler::recordLeasesOfLostExecutors()
{
    for (const auto &[id, executor] : m_executors) {
        if (!executor.runs.empty() && (executor.failedContacts > 0 || !executor.isSynchronised)) {
            m_leaseRecords[id] = {executor.leaseExpiry, true};
            m_changedLeaseRecords.insert(id);
        }
    }
}

void scheduler::dropExpiredLeaseRecords(time_point now)
{
    for (const auto &[id, lease] : m_leaseRecords) {
        if (now > lease.expiry) {
            m_changedLeaseRecords.insert(id);
        }
    }
    std::erase_if(m_leaseRecords, [now](const auto &entry) { return now > entry.second.expiry; });
}

bool scheduler::mayStillStart(const scheduled_run &run, time_point now) const
{
    return mayHaveStartInFlight(run) && now < run.orderedAt + m_settings.lateOrderTimeout;
}

void scheduler::handleLostRuns(executor_state &executor, run_loss loss, time_point now)
{
    const std::vector<attached_run> runs = executor.runs;
    for (const attached_run &key : runs) {
        const scheduled_run *run = findRun(key);
        if (run == nullptr || !mayExistOnExecutor(run->phase)) {
            continue;
        }
        // This boot rejects the order as late once its lease is over, so only a later boot could carry it out. One that is gone has none.
        if (loss == run_loss::lapsed && mayStillStart(*run, now) && !isGone(executor)) {
            continue;
        }
        loseRun(executor, key, loss == run_loss::lapsed ? "lapsed" : "replaced", now);
    }
}

void scheduler::loseRun(const executor_state &executor, const run_key &key, std::string_view loss, time_point now)
{
    addTaskDecision("run-lost", key.task, executor.description.id, "run=" + std::to_string(key.run) + " loss=" + std::string(loss));
    scheduled_job &job = *findMutableJob(key.task.job);
    ++countersOf(job).lostRuns;
    delayTask(key, now);
    releaseRun(key);
}

} // namespace parsleyglade
