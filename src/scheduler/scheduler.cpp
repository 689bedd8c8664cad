#include "scheduler/scheduler.h"

#include "scheduler/job_records.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

namespace {

constexpr char workKeyPrefix = 'w';
constexpr char progressKeyPrefix = 'p';
constexpr char maintenanceKeyPrefix = 'h';
constexpr char moveKeyPrefix = 'm';
constexpr char leaseKeyPrefix = 'l';

bool hasStarted(const scheduled_job &job)
{
    for (const scheduled_occurrence &occurrence : job.occurrences) {
        for (const scheduled_step &step : occurrence.steps) {
            if (std::any_of(step.tasks.begin(), step.tasks.end(), [](const scheduled_task &task) { return task.lastRun > 0; })) {
                return true;
            }
        }
    }
    return false;
}

/** Returns the declared work of a job in millicore-milliseconds, without its long-running steps. */
std::int64_t declaredWork(const wire::work_record &work)
{
    std::int64_t sum = 0;
    for (const wire::step_record &step : work.steps) {
        if (!step.longRunning) {
            sum += step.taskCount * reservedBy(step).cpuMillicores * step.estimateMilliseconds;
        }
    }
    return sum;
}

} // namespace

scheduler::scheduler(scheduler_settings settings)
    : m_settings(settings)
{
}

std::string scheduler::workKey(const std::string &job)
{
    return workKeyPrefix + job;
}

std::string scheduler::progressKey(const std::string &job)
{
    return progressKeyPrefix + job;
}

std::string scheduler::leaseKey(const std::string &executor)
{
    return leaseKeyPrefix + executor;
}

bool scheduler::restore(const std::string &key, const std::string &value)
{
    if (key.size() > 1 && key.front() == leaseKeyPrefix) {
        return restoreLease(key.substr(1), value);
    }
    if (late_start_records::isKey(key)) {
        return m_lateStartRecords.restore(key, value);
    }
    if (value.empty()) {
        removeRestored(key);
        return true;
    }
    if (key.size() > 1 && (key.front() == maintenanceKeyPrefix || key.front() == moveKeyPrefix)) {
        m_hostRecords[key] = value;
        return true;
    }
    if (key.size() < 2 || (key.front() != workKeyPrefix && key.front() != progressKeyPrefix)) {
        return true;
    }

    const std::string id = key.substr(1);
    if (key.front() == workKeyPrefix) {
        const auto work = decode<wire::work_record>(value);
        if (!work || findWorkFault(*work)) {
            return false;
        }
        auto job = makeJob(id, *work);
        const auto early = m_orphanProgress.find(id);
        applyProgress(*job, early == m_orphanProgress.end() ? wire::progress_record() : early->second);
        m_orphanProgress.erase(id);
        m_jobs[id] = std::move(job);
        return true;
    }

    const auto progress = decode<wire::progress_record>(value);
    if (!progress) {
        return false;
    }
    const auto known = m_jobs.find(id);
    if (known == m_jobs.end()) {
        m_orphanProgress[id] = *progress;
        return true;
    }
    auto job = makeJob(id, known->second->work);
    applyProgress(*job, *progress);
    known->second = std::move(job);
    return true;
}

/** Removes what was restored of a record that the journal no longer has. A copy that follows the journal would otherwise keep every job. */
void scheduler::removeRestored(const std::string &key)
{
    if (key.size() < 2) {
        return;
    }
    const std::string id = key.substr(1);
    switch (key.front()) {
    case workKeyPrefix:
        m_jobs.erase(id);
        m_orphanProgress.erase(id);
        break;
    case progressKeyPrefix:
        m_orphanProgress.erase(id);
        break;
    case maintenanceKeyPrefix:
    case moveKeyPrefix:
        m_hostRecords.erase(key);
        break;
    default:
        break;
    }
}

bool scheduler::restoreLease(const std::string &executor, const std::string &value)
{
    m_restoredLeases.erase(executor);
    if (value.empty()) {
        return true; // the lease has expired
    }
    const auto record = decode<wire::lease_record>(value);
    if (!record) {
        return false;
    }
    m_restoredLeases[executor] = *record;
    return true;
}

void scheduler::lead(std::int64_t fence, time_point now, wall_time wallNow, bool hasResigned)
{
    m_wallNow = wallNow;
    m_fence = fence;
    m_now = now;
    m_leadingSince = now;
    m_hasPredecessorResigned = hasResigned;
    m_orphanProgress.clear();

    // The previous leader may have extended leases until its own leadership lease expired.
    const duration predecessorLeadership = hasResigned ? duration::zero() : m_settings.leadershipLease;
    const time_point predecessorLeaseExpiry = now + longestLocalTime(predecessorLeadership + m_settings.lease) + m_settings.leaseExpiryMargin;

    for (auto &[id, job] : m_jobs) {
        job->team = &accountOf(job->work);
        if (isFinal(job->state)) {
            job->finishedAt = m_wallNow;
        } else {
            m_active.push_back(job.get());
            if (hasStarted(*job)) {
                job->state = work_state::running;
            }
        }
        for (std::size_t occurrence = 0; occurrence < job->occurrences.size(); ++occurrence) {
            auto &steps = job->occurrences[occurrence].steps;
            for (std::size_t step = 0; step < steps.size(); ++step) {
                for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
                    for (scheduled_run &run : steps[step].tasks[index].runs) {
                        run.orderedAt = hasResigned ? now - run.orderAge : now; // latest time at which the previous leader can have sent it
                        executor_state &executor = m_executors[run.executor];
                        executor.description.id = run.executor;
                        executor.description.boot = std::max(executor.description.boot, run.boot);
                        executor.leaseExpiry = predecessorLeaseExpiry;
                        executor.lastGrantAt = now + predecessorLeadership;
                        executor.lateGrantUntil = now + predecessorLeadership + m_settings.lateOrderTimeout;
                        const run_key key{{id, static_cast<int>(occurrence), static_cast<int>(step), static_cast<int>(index)}, run.run};
                        if (!run.isConfirmed) {
                            executor.lateStarts.addRestored(key, run.orderedAt + m_settings.lateOrderTimeout);
                        }
                        attachRun(executor, *job, key);
                    }
                }
            }
        }
    }
    restoreLateStarts(now);
    restoreLeases(now, hasResigned);
    restoreArrivals(now, wallNow);
    for (const auto &[host, latest] : latestHostOrders()) {
        m_hostOrders.restore(host, latest);
    }
    for (auto &[id, executor] : m_executors) {
        touch(executor);
    }
    addDecision("lead", {}, {}, "fence=" + std::to_string(fence) + " jobs=" + std::to_string(m_jobs.size()) + " active=" + std::to_string(m_active.size()));
    endExhaustedJobs();
}

/** Takes the last work that earlier leaders have accepted for the demand until this leader has seen arrivals itself. */
void scheduler::restoreArrivals(time_point now, wall_time wallNow)
{
    for (const auto &[id, job] : m_jobs) {
        m_restoredArrivals.add(job->work.queue, job->work.acceptedMilliseconds, declaredWork(job->work));
    }
    m_restoredArrivals.keepNewest(m_settings.arrivalWindow, now, wallNow);
    m_isDemandRestored = !m_restoredArrivals.arrivals().empty();
    addRestoredArrivals();
}

/** Adds the restored arrivals to the windows of their services, once a configuration names these. */
void scheduler::addRestoredArrivals()
{
    if (m_configuration.version == 0) {
        return;
    }
    for (const restored_arrivals::arrival &item : m_restoredArrivals.arrivals()) {
        if (const queue_policy *queue = findQueue(item.queue)) {
            m_arrivals.try_emplace(queue->service, m_settings.arrivalWindow).first->second.add(item.countsFrom, item.work);
        }
    }
    m_restoredArrivals.clear();
}

void scheduler::setConfiguration(queue_configuration configuration)
{
    const bool isFirst = m_configuration.version == 0;
    m_queues.clear();
    m_configuration = std::move(configuration);
    for (const queue_policy &queue : m_configuration.queues) {
        m_queues.try_emplace(queue.name, &queue);
    }
    m_teams.setPolicies(m_configuration.teams, m_now);
    if (isFirst) {
        restoreAllowances();
    }
    addRestoredArrivals();
    endExhaustedJobs();
}

const queue_configuration &scheduler::configuration() const
{
    return m_configuration;
}

void scheduler::submit(call_token token, const std::string &job, wire::work_record work, wall_time now)
{
    if (const scheduled_job *known = findMutableJob(job)) {
        respondWhenRecorded(token, *known);
        return;
    }
    const queue_policy *queue = findQueue(work.queue);
    if (queue == nullptr) {
        respond(token, wire::work_verdict::no_such_queue, "the configuration has no such queue");
        return;
    }
    if (const auto fault = findWorkFault(work)) {
        respond(token, wire::work_verdict::invalid, *fault);
        return;
    }
    if (m_active.size() >= m_settings.maximumJobs) {
        ++countersOf(queue->service).refusedJobs;
        addDecision("refuse", job, {}, "active=" + std::to_string(m_active.size()) + " limit=" + std::to_string(m_settings.maximumJobs));
        refuse(token, "too many unfinished jobs", m_settings.refusalDelay);
        return;
    }
    team_account &team = accountOf(work);
    if (refuseForTeam(token, job, work, *queue, team)) {
        return;
    }

    if (!team.allowance.isAvailable(m_now)) {
        work.__set_beyondRate(true);
        ++team.counters.acceptedBeyondRate;
    }
    ++team.counters.acceptedJobs;
    team.allowance.take(m_now);
    work.acceptedMilliseconds = now.time_since_epoch().count();
    auto added = makeJob(job, work);
    scheduled_job &accepted = *added;
    accepted.team = &team;
    m_jobs[job] = std::move(added);
    accepted.awaitsStartSince = m_now;
    ++countersOf(queue->service).acceptedJobs;
    m_active.push_back(&accepted);
    m_changed.push_back(&accepted);
    const double expectedWork = static_cast<double>(declaredWork(accepted.work)) * runTimeRatio(queue->name);
    m_arrivals.try_emplace(queue->service, m_settings.arrivalWindow).first->second.add(m_now, static_cast<std::int64_t>(expectedWork));
    m_admission.addAccepted(queue->service, {&team, m_teams.weightOf(team), accepted.work.beyondRate}, expectedWork);
    addDecision("accept", job, {}, "queue=" + accepted.work.queue + " configuration=" + std::to_string(m_configuration.version));
    respondWhenRecorded(token, accepted);
}

void scheduler::query(call_token token, const std::string &job)
{
    const scheduled_job *known = findMutableJob(job);
    if (known == nullptr) {
        respond(token, wire::work_verdict::not_found, "no such job");
        return;
    }
    if (isFinal(known->state)) {
        respondWhenRecorded(token, *known);
        return;
    }
    respondWithState(token, *known);
}

void scheduler::cancel(call_token token, const std::string &job, wall_time now)
{
    scheduled_job *known = findMutableJob(job);
    if (known == nullptr) {
        respond(token, wire::work_verdict::not_found, "no such job");
        return;
    }
    if (!isFinal(known->state)) {
        addDecision("cancel", job, {}, "state=" + std::string(name(known->state)));
        finish(*known, work_state::cancelled, now);
    }
    respondWhenRecorded(token, *known);
}

void scheduler::countPending(call_token token, const std::string &queue)
{
    wire::work_reply reply;
    reply.verdict = findQueue(queue) == nullptr ? wire::work_verdict::no_such_queue : wire::work_verdict::done;
    reply.pending = std::count_if(m_active.begin(), m_active.end(), [&](const scheduled_job *job) { return !job->hasBegun && job->work.queue == queue; });
    m_actions.emplace_back(call_response{token, reply});
}

std::uint64_t scheduler::recordHost(wire::host_record record)
{
    record.fence = m_fence;
    record.orderedMilliseconds = m_wallNow.time_since_epoch().count();
    const std::string key = (record.wave == 0 ? moveKeyPrefix : maintenanceKeyPrefix) + record.host;
    m_hostRecords[key] = encode(record);
    m_changedHostRecords.push_back(key);
    return m_batch + 1;
}

std::uint64_t scheduler::confirmedBatch() const
{
    return m_confirmedBatch;
}

std::vector<scheduler_action> scheduler::takeActions()
{
    return std::exchange(m_actions, {});
}

bool scheduler::isDeposed() const
{
    return m_isDeposed;
}

std::size_t scheduler::jobCount() const
{
    return m_jobs.size();
}

std::size_t scheduler::executorCount() const
{
    return m_executors.size();
}

const scheduled_job *scheduler::findJob(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const executor_state *scheduler::findExecutor(const std::string &id) const
{
    const auto found = m_executors.find(id);
    return found == m_executors.end() ? nullptr : &found->second;
}

scheduled_job *scheduler::findMutableJob(const std::string &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const queue_policy *scheduler::findQueue(const std::string &queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? nullptr : found->second;
}

const queue_policy *scheduler::queueOf(const scheduled_job &job) const
{
    return findQueue(job.work.queue);
}

void scheduler::respond(call_token token, wire::work_verdict::type verdict, std::string reason)
{
    wire::work_reply reply;
    reply.verdict = verdict;
    reply.reason = std::move(reason);
    m_actions.emplace_back(call_response{token, reply});
}

void scheduler::refuse(call_token token, const std::string &reason, duration retryDelay)
{
    wire::work_reply reply;
    reply.verdict = wire::work_verdict::refused;
    reply.reason = reason;
    reply.retryAfterMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(retryDelay).count();
    m_actions.emplace_back(call_response{token, reply});
}

void scheduler::respondWithState(call_token token, const scheduled_job &job)
{
    wire::work_reply reply;
    reply.verdict = wire::work_verdict::done;
    reply.state = static_cast<std::int32_t>(job.state);
    m_actions.emplace_back(call_response{token, reply});
}

void scheduler::respondWhenRecorded(call_token token, const scheduled_job &job)
{
    wire::work_reply reply;
    reply.verdict = wire::work_verdict::done;
    reply.state = static_cast<std::int32_t>(job.state);

    const bool isInUnconfirmedBatch = m_isBatchUnconfirmed && job.batch == m_batch;
    if (job.changed) {
        m_replies.push_back({token, job.id, reply});
    } else if (isInUnconfirmedBatch) {
        m_recordingReplies.push_back({token, job.id, reply});
    } else {
        m_actions.emplace_back(call_response{token, reply});
    }
}

void scheduler::addDecision(std::string_view decision, const std::string &job, const std::string &executor, std::string inputs)
{
    m_actions.emplace_back(decision_entry{decision, job, {}, executor, {}, std::move(inputs)});
}

void scheduler::addTaskDecision(std::string_view decision, const task_id &task, const std::string &executor, std::string inputs)
{
    m_actions.emplace_back(decision_entry{decision, {}, task, executor, {}, std::move(inputs)});
}

void scheduler::addTaskDecision(std::string_view decision, const task_id &task, const std::string &executor, const decision_entry::input_list &inputs)
{
    m_actions.emplace_back(decision_entry{decision, {}, task, executor, {}, {}, inputs});
}

void scheduler::markChanged(scheduled_job &job)
{
    job.mayHaveWaitingTasks = true;
    if (!job.changed) {
        job.changed = true;
        m_changed.push_back(&job);
    }
}

void scheduler::finish(scheduled_job &job, work_state state, wall_time now)
{
    addDecision("finish", job.id, {}, "state=" + std::string(name(state)));
    job.state = state;
    job.finishedAt = now;
    std::erase(m_active, &job);
    markChanged(job);
    stopAllRuns(job, m_now);
}

void scheduler::removeExpiredJobs(wall_time wallNow)
{
    const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.retention);
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        const scheduled_job &job = *entry->second;
        const bool isOver = isFinal(job.state) && !job.changed && wallNow - job.finishedAt > retention;
        const bool hasRuns
            = isOver && std::any_of(m_executors.begin(), m_executors.end(), [&](const auto &executor) {
                  return std::any_of(executor.second.runs.begin(), executor.second.runs.end(), [&](const attached_run &key) { return key.job == &job; });
              });
        if (isOver && !hasRuns) {
            m_removedJobs.push_back(job.id);
            entry = m_jobs.erase(entry);
        } else {
            ++entry;
        }
    }
}

} // namespace parsleyglade
