#include "control/leader_task.h"

#include <algorithm>
#include <type_traits>

namespace parsleyglade {

namespace {

// Leases and repeated orders are checked at least this often.
constexpr duration decisionInterval = std::chrono::milliseconds{50};

wire::work_reply withVerdict(wire::work_verdict::type verdict)
{
    wire::work_reply reply;
    reply.verdict = verdict;
    return reply;
}

keyed_follower::settings registryReading(const control_settings &settings)
{
    keyed_follower::settings reading;
    reading.wait = duration::zero();
    reading.pause = settings.registryPause;
    reading.retry = settings.storeRetry;
    return reading;
}

} // namespace

leader_task::leader_task(event_loop &loop, const platform_clients &platform, const control_settings &settings, control_metrics &metrics,
                         std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t takeoverOffset, std::uint64_t end, std::function<void()> ended)
    : m_loop(loop)
    , m_platform(platform)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_scheduler(std::move(restored))
    , m_journal(loop, platform.store, settings, end, [this] { this->end("another entry host leads"); })
    , m_hosts(loop, platform.store, platform.hosts, platform.decoder, settings, *m_scheduler,
              [this] { return hasRight() && journalAge() < m_settings.hostOrderRight; })
    , m_registry(
          loop, platform.store, store_topic::registry, registryReading(settings), [this](const store_record &record) { takeRegistryRecord(record); },
          [this] { wake(); })
    , m_ended(std::move(ended))
{
    m_scheduler->lead(static_cast<std::int64_t>(takeoverOffset), m_loop.now(), m_loop.wallNow(), hasResigned);
    m_hosts.lead(static_cast<std::int64_t>(takeoverOffset));
    m_heartbeat = m_loop.every(decisionInterval, [this] { wake(); });
    m_registry.start();

    wire::batch_record announcement;
    announcement.writer = static_cast<std::int64_t>(settings.incarnation);
    announcement.peerAddress = settings.peerAddress;
    announcement.sequence = static_cast<std::int64_t>(takeoverOffset);
    m_platform.store.append(store_topic::leader, {{"leader", encode(announcement)}}, std::nullopt, [this, alive = alive()](const store_append_result &result) {
        if (alive.lock() && result.status != store_append_status::appended) {
            m_log.warning("the announcement may not have reached the other entry hosts", {{"reason", result.reason}});
        }
    });
}

leader_task::~leader_task()
{
    for (const auto &[token, reply] : m_calls) {
        reply(withVerdict(wire::work_verdict::undecided));
    }
    for (const deferred_call &waiting : m_deferred) {
        waiting.reply(withVerdict(wire::work_verdict::not_leading));
    }
}

void leader_task::setConfiguration(const queue_configuration &configuration)
{
    m_scheduler->setConfiguration(configuration);
    wake();
}

void leader_task::setWave(const wave_request &request)
{
    m_hosts.setWave(request);
    wake();
}

void leader_task::call(const wire::work_call &call, reply_function reply)
{
    if (m_hasEnded || m_isResigning || call.configurationVersion > m_scheduler->configuration().version) {
        reply(withVerdict(wire::work_verdict::not_leading));
        return;
    }
    if (!needsConfirmation(call)) {
        passOn(call, std::move(reply));
        return;
    }
    if (journalAge() < m_settings.answerRight + m_settings.confirmationLimit) {
        m_deferred.push_back({call, std::move(reply), m_loop.now()});
        wake();
        return;
    }
    reply(withVerdict(wire::work_verdict::not_leading));
}

/** A successor may have accepted and started jobs unknown here when the journal has not confirmed the lead for a while. */
bool leader_task::needsConfirmation(const wire::work_call &call) const
{
    const bool isPending = call.kind == wire::work_call_kind::count_pending;
    const bool isAboutKnownJob = !isPending && m_scheduler->findJob(call.job) != nullptr;
    return journalAge() >= (isAboutKnownJob ? m_settings.scheduling.leadershipLease : m_settings.answerRight);
}

/** What has waited too long for a confirmation was certainly not carried out; its caller is better told so than left in doubt. */
void leader_task::expireDeferred()
{
    const time_point limit = m_loop.now() - m_settings.confirmationLimit;
    const auto end = std::find_if(m_deferred.begin(), m_deferred.end(), [limit](const deferred_call &waiting) { return waiting.takenAt > limit; });
    for (auto waiting = m_deferred.begin(); waiting != end; ++waiting) {
        waiting->reply(withVerdict(wire::work_verdict::not_leading));
    }
    m_deferred.erase(m_deferred.begin(), end);
}

void leader_task::passOnConfirmed()
{
    const time_point confirmed = m_journal.lastConfirmed();
    const auto end = std::find_if(m_deferred.begin(), m_deferred.end(), [confirmed](const deferred_call &waiting) { return waiting.takenAt > confirmed; });
    std::vector<deferred_call> ready(std::make_move_iterator(m_deferred.begin()), std::make_move_iterator(end));
    m_deferred.erase(m_deferred.begin(), end);
    for (deferred_call &waiting : ready) {
        passOn(waiting.call, std::move(waiting.reply));
    }
}

void leader_task::passOn(const wire::work_call &call, reply_function reply)
{
    const call_token token = m_nextToken++;
    m_calls[token] = std::move(reply);
    const wall_time now = m_loop.wallNow();
    switch (call.kind) {
    case wire::work_call_kind::submit:
        m_scheduler->submit(token, call.job, call.work, now);
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
    wake();
}

void leader_task::resign()
{
    if (!m_isResigning) {
        m_isResigning = true;
        m_scheduler->resign(m_loop.now());
    }
    wake();
}

void leader_task::depose(const std::string &successor)
{
    end("another entry host leads: " + successor);
}

bool leader_task::isResigning() const
{
    return m_isResigning;
}

duration leader_task::journalAge() const
{
    return m_loop.now() - m_journal.lastConfirmed();
}

const scheduler &leader_task::state() const
{
    return *m_scheduler;
}

std::weak_ptr<bool> leader_task::alive() const
{
    return m_alive;
}

bool leader_task::hasRight() const
{
    return !m_hasEnded && journalAge() < m_settings.scheduling.leadershipLease;
}

void leader_task::wake()
{
    if (m_isWaking || m_hasEnded) {
        return;
    }
    m_isWaking = true;
    const duration elapsed = m_loop.now() - m_lastRun;
    m_wake = m_loop.after(std::max(m_settings.decisionPause - elapsed, duration::zero()), [this] { run(); });
}

void leader_task::run()
{
    m_isWaking = false;
    if (m_hasEnded) {
        return;
    }
    m_lastRun = m_loop.now();
    expireDeferred();
    if (hasRight() && !m_isResigning) {
        m_scheduler->decide(m_loop.now(), m_loop.wallNow());
        m_hosts.run();
    }
    writeBatch();

    std::vector<scheduler_action> actions = m_scheduler->takeActions();
    for (scheduler_action &action : actions) {
        perform(action);
    }
    if (hasRight() && !m_isResigning) {
        for (const poll_order &order : m_scheduler->takePolls(m_loop.now())) {
            performLook(order);
        }
    }
    if (m_scheduler->isDeposed()) {
        end("an executor has seen a higher fencing token");
    }
}

void leader_task::writeBatch()
{
    if (m_journal.isBusy()) {
        return;
    }

    wire::batch_record header;
    if (m_isResigning) {
        // The successor is to know everything that is known here, and to see at the journal's last record that nobody leads.
        header.resigned = true;
        auto last = m_scheduler->takeBatch();
        auto entries = last ? std::move(last->entries) : std::vector<journal_entry>();
        entries.push_back({journal_writer::batchKey, encode(header)});
        m_journal.append(header, std::move(entries), [this](std::uint64_t) { end("resigned"); });
        return;
    }

    auto batch = m_scheduler->takeBatch();
    if (!batch) {
        if (journalAge() >= m_settings.keepAlive) {
            m_journal.append(header, {}, [this](std::uint64_t) {
                passOnConfirmed();
                wake();
            });
        }
        return;
    }
    m_journal.append(header, std::move(batch->entries), [this, number = batch->number, begun = m_loop.now()](std::uint64_t) {
        m_metrics.countAppend(m_loop.now() - begun);
        m_scheduler->confirmBatch(number, m_loop.now());
        passOnConfirmed();
        wake();
    });
}

void leader_task::perform(scheduler_action &action)
{
    std::visit(
        [this](auto &item) {
            using item_type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<item_type, start_order>) {
                performStart(item);
            } else if constexpr (std::is_same_v<item_type, stop_order>) {
                if (hasRight()) {
                    m_platform.executors.stop(item, [this, order = item, alive = alive()](const order_response &answer) {
                        if (alive.lock()) {
                            m_scheduler->handleStopResponse(order, answer, m_loop.now());
                            wake();
                        }
                    });
                } else {
                    m_scheduler->handleStopResponse(item, order_response{}, m_loop.now());
                }
            } else if constexpr (std::is_same_v<item_type, pace_order>) {
                if (hasRight()) {
                    m_platform.executors.pace(item, [](const order_response &) {
                        // The next look shows the pace in force; a pace that was not taken is ordered again then.
                    });
                }
            } else if constexpr (std::is_same_v<item_type, call_response>) {
                const auto found = m_calls.extract(item.token);
                if (!found.empty()) {
                    found.mapped()(item.reply);
                }
            } else {
                m_metrics.countDecision(item.decision);
                m_decisions.info(item.decision + (item.inputs.empty() ? "" : ' ' + item.inputs),
                                 {{"job", item.job}, {"task", item.task}, {"executor", item.executor}, {"host", item.host}});
            }
        },
        action);
}

void leader_task::performStart(const start_order &order)
{
    const time_point sent = m_loop.now();
    if (!hasRight()) {
        order_response withheld;
        withheld.result = order_result::not_sent;
        m_scheduler->handleStartResponse(order, withheld, sent, sent);
        return;
    }
    m_platform.executors.start(order, [this, order, sent, alive = alive()](const order_response &answer) {
        if (alive.lock()) {
            m_scheduler->handleStartResponse(order, answer, sent, m_loop.now());
            wake();
        }
    });
}

void leader_task::performLook(const poll_order &order)
{
    const time_point sent = m_loop.now();
    m_platform.executors.look(order, [this, id = order.target.executor, sent, alive = alive()](const poll_response &answer) {
        if (alive.lock()) {
            m_scheduler->handlePollResponse(id, answer, sent, m_loop.now());
            wake();
        }
    });
}

void leader_task::takeRegistryRecord(const store_record &record)
{
    if (record.value.empty()) {
        m_scheduler->removeExecutor(record.key);
        return;
    }

    const auto description = m_platform.decoder.decodeExecutor(record.key, record.value);
    if (!description) {
        m_scheduler->removeExecutor(record.key);
        if (m_malformedEntries.insert(record.key).second) {
            m_log.warning("an entry of the registry is malformed", {{"executor", record.key}, {"reason", description.lastReason().reason}});
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
    m_log.info("leads no more", {{"reason", reason}});
    m_loop.post([ended = m_ended] { ended(); });
}

} // namespace parsleyglade
