#include "control/leader_task.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Leases and retries of orders are checked at least this often.
constexpr duration maximumDecisionInterval = std::chrono::milliseconds{50};

// Between two reports of the leader's load in the log.
constexpr duration loadReportInterval = std::chrono::seconds{1};

// Time after which a caller whose job ID is in use by another team may retry.
constexpr std::int64_t foreignJobRetryMilliseconds = 2'000;

wire::work_reply makeReply(wire::work_verdict::type verdict)
{
    wire::work_reply reply;
    reply.verdict = verdict;
    return reply;
}

/** Makes the reply to a call that is not carried out. A job of another team must not be told from one that does not exist, and a submission with its ID not
    from one that is refused for lack of room. */
wire::work_reply makeDenial(const wire::work_call &call, const call_access &access)
{
    if (access.status == call_access::access_status::not_authenticated) {
        wire::work_reply reply = makeReply(wire::work_verdict::not_authenticated);
        reply.reason = "the configuration has no such key";
        return reply;
    }
    if (call.kind != wire::work_call_kind::submit) {
        return makeReply(wire::work_verdict::not_found);
    }
    wire::work_reply reply = makeReply(wire::work_verdict::refused);
    reply.reason = "the job would wait too long for an executor";
    reply.retryAfterMilliseconds = foreignJobRetryMilliseconds;
    return reply;
}

wire::work_record makeWork(const wire::work_call &call, const std::string &team)
{
    wire::work_record work = call.work;
    if (!team.empty()) {
        work.__set_team(team);
    }
    return work;
}

topic_follower::settings registryFollowerSettings(const control_settings &settings)
{
    topic_follower::settings followerSettings;
    followerSettings.wait = duration::zero();
    followerSettings.readInterval = settings.registryReadInterval;
    followerSettings.retryDelay = settings.storeRetryDelay;
    return followerSettings;
}

} // namespace

leader_task::leader_task(event_loop &loop, const platform_clients &platform, const control_settings &settings, const peer_settings &peers,
                         control_metrics &metrics, std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t takeoverOffset, std::uint64_t end,
                         std::function<void()> ended)
    : m_loop(loop)
    , m_platform(platform)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_scheduler(std::move(restored))
    , m_journal(
          loop, platform.store, settings, end, [this] { this->end("another entry host leads"); }, [this] { handleStoreRefusal(); })
    , m_hosts(loop, platform.store, platform.hosts, platform.decoder, settings, *m_scheduler,
              [this] { return hasLeadershipLease() && !isStoreRefusing() && journalAge() < m_settings.hostOrderLeadershipLease; })
    , m_registry(
          loop, platform.store, store_topic::registry, registryFollowerSettings(settings), [this](const store_record &record) { handleRegistryRecord(record); },
          [this] {
              m_scheduler->confirmRegistry();
              scheduleRun();
          })
    , m_ended(std::move(ended))
    , m_loadReporter(*m_scheduler, m_load)
    , m_executors(loop, platform.executors, peers, settings.relays, m_load)
{
    m_scheduler->lead(static_cast<std::int64_t>(takeoverOffset), m_loop.now(), m_loop.wallNow(), hasResigned);
    m_hosts.lead(static_cast<std::int64_t>(takeoverOffset));
    m_decisionTimer = m_loop.every(maximumDecisionInterval, [this] { scheduleRun(); });
    m_loadTimer = m_loop.every(loadReportInterval, [this] { m_loadReporter.writeLines(m_loop.now()); });
    m_registry.start();

    wire::batch_record announcement;
    announcement.writer = static_cast<std::int64_t>(settings.incarnation);
    announcement.peerAddress = settings.peerAddress;
    announcement.sequence = static_cast<std::int64_t>(takeoverOffset);
    m_platform.store.append(store_topic::leader, {{"leader", encode(announcement)}}, std::nullopt, [this, alive = alive()](const store_append_result &result) {
        if (alive.lock() && result.status != store_append_status::appended) {
            m_log.warning("leader announcement not confirmed; other entry hosts may not have received it", {{"reason", result.reason}});
        }
    });
}

leader_task::~leader_task()
{
    for (const auto &[token, reply] : m_pendingCalls) {
        reply(makeReply(wire::work_verdict::undecided));
    }
    for (const deferred_call &deferred : m_deferredCalls) {
        deferred.reply(makeReply(wire::work_verdict::not_leading));
    }
}

void leader_task::setConfiguration(const queue_configuration &configuration)
{
    m_scheduler->setConfiguration(configuration);
    scheduleRun();
}

void leader_task::setWave(const wave_request &request)
{
    m_hosts.setWave(request);
    scheduleRun();
}

void leader_task::recordFollower(const wire::leader_probe &probe)
{
    constexpr double millicoresPerCore = 1000;
    if (probe.leadingMillicores >= m_settings.leaderProcessorShare * millicoresPerCore) {
        m_executors.recordCandidate(probe.peerAddress, probe.dataCentre);
    }
}

void leader_task::call(const wire::work_call &call, reply_function reply)
{
    if (m_hasEnded || m_isResigning || call.configurationVersion > m_scheduler->configuration().version) {
        reply(makeReply(wire::work_verdict::not_leading));
        return;
    }
    if (!needsConfirmation(call)) {
        forwardToScheduler(call, std::move(reply));
        return;
    }
    if (journalAge() < m_settings.readLease + m_settings.confirmationTimeout) {
        m_deferredCalls.push_back({call, std::move(reply), m_loop.now()});
        scheduleRun();
        return;
    }
    reply(makeReply(wire::work_verdict::not_leading));
}

/** When the journal has not confirmed leadership for a while, a successor may already have accepted jobs that are unknown here. */
bool leader_task::needsConfirmation(const wire::work_call &call) const
{
    const bool isPending = call.kind == wire::work_call_kind::count_pending;
    const bool isAboutKnownJob = !isPending && m_scheduler->findJob(call.job) != nullptr;
    if (!isAboutKnownJob && isStoreRefusing()) {
        return true;
    }
    return journalAge() >= (isAboutKnownJob ? m_settings.scheduling.leadershipLease : m_settings.readLease);
}

/** Fails calls that have waited too long for a confirmation. They were certainly not carried out, so their callers can retry safely. */
void leader_task::expireDeferredCalls()
{
    const time_point cutoff = m_loop.now() - m_settings.confirmationTimeout;
    const auto end
        = std::find_if(m_deferredCalls.begin(), m_deferredCalls.end(), [cutoff](const deferred_call &deferred) { return deferred.receivedAt > cutoff; });
    for (auto deferred = m_deferredCalls.begin(); deferred != end; ++deferred) {
        deferred->reply(makeReply(wire::work_verdict::not_leading));
    }
    m_deferredCalls.erase(m_deferredCalls.begin(), end);
}

void leader_task::forwardConfirmedCalls()
{
    const time_point confirmed = m_journal.lastConfirmed();
    const auto end
        = std::find_if(m_deferredCalls.begin(), m_deferredCalls.end(), [confirmed](const deferred_call &deferred) { return deferred.receivedAt > confirmed; });
    std::vector<deferred_call> ready(std::make_move_iterator(m_deferredCalls.begin()), std::make_move_iterator(end));
    m_deferredCalls.erase(m_deferredCalls.begin(), end);
    for (deferred_call &deferred : ready) {
        forwardToScheduler(deferred.call, std::move(deferred.reply));
    }
}

void leader_task::forwardToScheduler(const wire::work_call &call, reply_function reply)
{
    const leader_load::scope scope(m_load, leader_part::calls);
    const call_access access = m_scheduler->checkAccess(call);
    if (access.status != call_access::access_status::granted) {
        reply(makeDenial(call, access));
        return;
    }
    const call_token token = m_nextToken++;
    m_pendingCalls[token] = std::move(reply);
    const wall_time now = m_loop.wallNow();
    switch (call.kind) {
    case wire::work_call_kind::submit:
        m_scheduler->submit(token, call.job, makeWork(call, access.team), now);
        break;
    case wire::work_call_kind::query:
        m_scheduler->query(token, call.job);
        break;
    case wire::work_call_kind::cancel:
        m_scheduler->cancel(token, call.job, now);
        break;
    case wire::work_call_kind::count_pending:
        m_scheduler->countPending(token, call.queue);
        break;
    }
    scheduleRun();
}

void leader_task::resign()
{
    if (!m_isResigning) {
        m_isResigning = true;
        m_scheduler->resign(m_loop.now());
    }
    scheduleRun();
}

void leader_task::depose(const std::string &successor)
{
    end("another entry host leads: " + successor);
}

void leader_task::onStoreRefusal(std::function<void()> callback)
{
    m_storeRefused = std::move(callback);
}

bool leader_task::isStoreRefusing() const
{
    return m_journal.isRefused();
}

std::uint64_t leader_task::journalEnd() const
{
    return m_journal.end();
}

void leader_task::handleStoreRefusal()
{
    if (m_storeRefused && !m_hasEnded) {
        m_storeRefused();
    }
}

bool leader_task::isResigning() const
{
    return m_isResigning;
}

duration leader_task::journalAge() const
{
    return m_loop.now() - m_journal.lastConfirmed();
}

std::vector<metric> leader_task::loadMetrics() const
{
    return m_loadReporter.collect(m_loop.now());
}

const scheduler &leader_task::state() const
{
    return *m_scheduler;
}

std::weak_ptr<bool> leader_task::alive() const
{
    return m_alive;
}

bool leader_task::hasLeadershipLease() const
{
    return !m_hasEnded && journalAge() < m_settings.scheduling.leadershipLease;
}

time_point leader_task::leadershipLeaseEnd() const
{
    return m_journal.lastConfirmed() + m_settings.scheduling.leadershipLease;
}

void leader_task::scheduleRun()
{
    if (m_isRunScheduled || m_hasEnded) {
        return;
    }
    m_isRunScheduled = true;
    const duration elapsed = m_loop.now() - m_lastRun;
    const duration interval
        = m_settings.minimumDecisionInterval + m_settings.decisionIntervalPerExecutor * static_cast<std::int64_t>(m_scheduler->executorCount());
    const duration delay = std::max(interval - elapsed, duration::zero());
    m_runDueAt = m_loop.now() + delay;
    m_runTimer = m_loop.after(delay, [this] { run(); });
}

void leader_task::run()
{
    m_isRunScheduled = false;
    if (m_hasEnded) {
        return;
    }
    m_lastRun = m_loop.now();
    m_load.addLoopDelay(std::max(m_lastRun - m_runDueAt, duration::zero()));
    m_executors.setFleetSize(m_scheduler->executorCount());
    expireDeferredCalls();
    decide();
    writeBatch();
    performActions();
    sendPolls();
    if (const auto deadline = m_scheduler->decisionDeadline()) {
        m_deadlineTimer = m_loop.after(*deadline, [this] { scheduleRun(); });
    }
    if (m_scheduler->isDeposed()) {
        end("an executor has seen a higher fencing token");
    }
}

void leader_task::decide()
{
    if (!hasLeadershipLease() || m_isResigning) {
        return;
    }
    {
        const leader_load::scope scope(m_load, leader_part::decisions);
        m_scheduler->decide(m_loop.now(), m_loop.wallNow());
    }
    const leader_load::scope scope(m_load, leader_part::hosts);
    m_hosts.run();
}

void leader_task::writeBatch()
{
    const leader_load::scope scope(m_load, leader_part::journal);
    if (m_journal.isBusy()) {
        return;
    }

    wire::batch_record header;
    if (m_isResigning) {
        // Write the remaining state for the successor. The resignation is repeated as the last record, which is the one that the successor reads first.
        header.resigned = true;
        auto last = m_scheduler->takeBatch();
        auto entries = last ? std::move(last->entries) : std::vector<journal_entry>();
        entries.push_back({journal_writer::batchKey, encode(header)});
        m_journal.append(header, std::move(entries), [this](std::uint64_t) { end("resigned"); });
        return;
    }

    auto batch = m_scheduler->takeBatch();
    if (!batch) {
        if (journalAge() >= m_settings.heartbeatInterval) {
            m_journal.append(header, {}, [this](std::uint64_t) {
                forwardConfirmedCalls();
                scheduleRun();
            });
        }
        return;
    }
    m_journal.append(header, std::move(batch->entries), [this, number = batch->number, startedAt = m_loop.now()](std::uint64_t) {
        const leader_load::scope confirmation(m_load, leader_part::journal);
        m_metrics.countAppend(m_loop.now() - startedAt);
        m_scheduler->confirmBatch(number, m_loop.now());
        forwardConfirmedCalls();
        scheduleRun();
    });
}

void leader_task::handleRegistryRecord(const store_record &record)
{
    const leader_load::scope scope(m_load, leader_part::registry);
    if (record.value.empty()) {
        m_scheduler->removeExecutor(record.key);
        return;
    }

    const auto description = m_platform.decoder.decodeExecutor(record.key, record.value);
    if (!description) {
        m_scheduler->removeExecutor(record.key);
        if (m_malformedEntries.insert(record.key).second) {
            m_log.warning("malformed registry entry; removing the executor", {{"executor", record.key}, {"reason", description.lastReason().reason}});
        }
        return;
    }
    m_malformedEntries.erase(record.key);
    m_scheduler->updateExecutor(*description, m_loop.now());
}

void leader_task::end(const std::string &reason)
{
    if (m_hasEnded) {
        return;
    }
    m_hasEnded = true;
    m_log.info("no longer leading", {{"reason", reason}});
    m_loop.post([ended = m_ended] { ended(); });
}

} // namespace parsleyglade
