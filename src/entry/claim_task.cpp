#include "entry/claim_task.h"

#include "entry/rendezvous.h"

#include <random>

namespace parsleyglade {

namespace {

constexpr duration selectionInterval = std::chrono::milliseconds{100};
constexpr duration requestTimeout = std::chrono::milliseconds{2500};

coordinator_settings makeCoordinatorSettings(const entry_settings &settings, incarnation_id writer)
{
    coordinator_settings made;
    made.writer = writer;
    made.appendInterval = settings.appendInterval;
    made.dispatcherLostTimeout = settings.dispatcherLostTimeout;
    made.snapshotInterval = settings.snapshotInterval;
    made.maximumClaims = settings.maximumClaims;
    made.dedupWindow = settings.dedupWindow;
    return made;
}

append_response::kind kindOf(append_status status)
{
    switch (status) {
    case append_status::appended:
        return append_response::kind::appended;
    case append_status::refused:
        return append_response::kind::refused;
    case append_status::unknown:
        break;
    }
    return append_response::kind::unknown;
}

read_response::kind kindOf(read_status status)
{
    switch (status) {
    case read_status::ok:
        return read_response::kind::ok;
    case read_status::trimmed:
        return read_response::kind::trimmed;
    case read_status::unavailable:
        break;
    }
    return read_response::kind::unavailable;
}

} // namespace

claim_task::claim_task(event_loop &loop, const entry_settings &settings, log_client &log, peer_task &peers)
    : m_loop(loop)
    , m_log(log)
    , m_peers(peers)
    , m_streams(static_cast<std::size_t>(settings.claimStreams))
{
    std::random_device seeds;
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        const std::uint64_t seed = (std::uint64_t{seeds()} << 32) | seeds();
        m_streams[index].name = "claims-" + std::to_string(index);
        m_streams[index].coordinator = std::make_unique<claim_coordinator>(makeCoordinatorSettings(settings, peers.incarnation()), seed);
    }
    m_peers.addListener(this);
    m_selectionTimer = m_loop.every(selectionInterval, [this] { selectCoordinators(); });
}

void claim_task::setLogReachable(std::function<bool()> isReachable)
{
    m_isLogReachable = std::move(isReachable);
}

void claim_task::resign()
{
    m_isResigned = true;
    selectCoordinators();
}

clock_reading claim_task::readClocks() const
{
    return {m_loop.now(), m_loop.wallNow()};
}

std::int32_t claim_task::streamOf(const job_key &key) const
{
    return static_cast<std::int32_t>(key.hash() % m_streams.size());
}

const std::string &claim_task::coordinatorOf(std::int32_t stream) const
{
    return m_streams.at(static_cast<std::size_t>(stream)).coordinatorHost;
}

bool claim_task::isServing(std::int32_t stream) const
{
    return stream >= 0 && static_cast<std::size_t>(stream) < m_streams.size() && coordinatorOf(stream) == m_peers.self();
}

void claim_task::selectCoordinators()
{
    std::vector<std::string> candidates;
    if (m_isLogReachable() && !m_isResigned) {
        candidates.push_back(m_peers.self());
    }
    for (const peer_state &peer : m_peers.livePeers()) {
        if (peer.heartbeat.logReachable) {
            candidates.push_back(peer.identity.entryHost);
        }
    }

    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        stream_state &stream = m_streams[index];
        const std::string selected = selectByRendezvous(stream.name, candidates);
        if (selected == stream.coordinatorHost) {
            continue;
        }

        const bool wasServing = stream.coordinatorHost == m_peers.self();
        stream.coordinatorHost = selected;
        m_logger.info("coordinator selected", {{"stream", stream.name}, {"entry_host", selected}});
        const auto number = static_cast<std::int32_t>(index);
        if (selected == m_peers.self()) {
            perform(number, stream.coordinator->start(readClocks()));
        } else if (wasServing) {
            perform(number, stream.coordinator->stop(readClocks()));
        }
    }
}

void claim_task::claim(const wire::claim_request &request, claim_callback done)
{
    if (isServing(request.stream)) {
        claimLocally(request.stream, request, std::move(done));
        return;
    }

    const std::string &coordinatorHost = coordinatorOf(request.stream);
    if (coordinatorHost.empty()) {
        m_loop.post(
            [done = std::move(done)] { done(makeReply(wire::claim_verdict::refused, result_code::log_unavailable, "no live entry host reaches the log")); });
        return;
    }

    wire::peer_message message;
    message.__set_claim(request);
    const duration timeout = requestTimeout + std::chrono::milliseconds{request.waitMilliseconds};
    m_peers.request(coordinatorHost, message, timeout, [done = std::move(done)](const outcome<wire::peer_message> &reply) {
        if (reply && reply->__isset.claimReply) {
            done(reply->claimReply);
            return;
        }
        done(makeReply(wire::claim_verdict::refused, result_code::coordinator_unreachable, "the coordinator of the key's claim stream did not reply"));
    });
}

void claim_task::report(const wire::result_report &report, report_callback done)
{
    if (isServing(report.stream)) {
        reportLocally(report.stream, report, std::move(done));
        return;
    }

    wire::peer_message message;
    message.__set_report(report);
    m_peers.request(coordinatorOf(report.stream), message, requestTimeout, [done = std::move(done)](const outcome<wire::peer_message> &reply) {
        done(reply && reply->__isset.reportReply && reply->reportReply.recorded);
    });
}

void claim_task::claimLocally(std::int32_t stream, const wire::claim_request &request, claim_callback done)
{
    const reply_handle handle{m_nextHandle++};
    m_claims[handle] = std::move(done);
    perform(stream, m_streams[static_cast<std::size_t>(stream)].coordinator->request(handle, request, readClocks()));
}

void claim_task::reportLocally(std::int32_t stream, const wire::result_report &report, report_callback done)
{
    const reply_handle handle{m_nextHandle++};
    m_reports[handle] = std::move(done);
    perform(stream, m_streams[static_cast<std::size_t>(stream)].coordinator->report(handle, report, readClocks()));
}

bool claim_task::serve(const peer_identity &, wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (message.__isset.claim) {
        const auto sendReply = [reply](const wire::claim_reply &decided) {
            wire::peer_message made;
            made.__set_claimReply(decided);
            reply(made);
        };
        if (isServing(message.claim.stream)) {
            claimLocally(message.claim.stream, message.claim, sendReply);
        } else {
            sendReply(
                makeReply(wire::claim_verdict::refused, result_code::coordinator_unreachable, "this entry host is not the coordinator of the claim stream"));
        }
        return true;
    }

    if (message.__isset.report) {
        const auto acknowledge = [reply](bool recorded) {
            wire::result_acknowledgement acknowledgement;
            acknowledgement.recorded = recorded;
            wire::peer_message made;
            made.__set_reportReply(acknowledgement);
            reply(made);
        };
        if (isServing(message.report.stream)) {
            reportLocally(message.report.stream, message.report, acknowledge);
        } else {
            acknowledge(false);
        }
        return true;
    }

    return false;
}

void claim_task::heartbeatReceived(const peer_state &peer)
{
    for (stream_state &stream : m_streams) {
        stream.coordinator->dispatcherActive(peer.identity.incarnation, readClocks());
        // This process sends no heartbeats to itself, so its own activity is recorded here.
        stream.coordinator->dispatcherActive(m_peers.incarnation(), readClocks());
    }
}

void claim_task::peerReplaced(incarnation_id former)
{
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        perform(static_cast<std::int32_t>(index), m_streams[index].coordinator->dispatcherExited(former, readClocks()));
    }
}

void claim_task::perform(std::int32_t stream, const coordinator_actions &actions)
{
    for (const coordinator_action &action : actions) {
        if (const auto *appending = std::get_if<append_action>(&action)) {
            append(stream, *appending);
        } else if (const auto *reading = std::get_if<read_action>(&action)) {
            read(stream, *reading);
        } else if (const auto *replying = std::get_if<reply_action>(&action)) {
            auto node = m_claims.extract(replying->handle);
            if (!node.empty()) {
                m_loop.post([done = std::move(node.mapped()), reply = replying->reply] { done(reply); });
            }
        } else if (const auto *acknowledging = std::get_if<acknowledge_action>(&action)) {
            auto node = m_reports.extract(acknowledging->handle);
            if (!node.empty()) {
                m_loop.post([done = std::move(node.mapped()), recorded = acknowledging->isRecorded] { done(recorded); });
            }
        }
    }
    scheduleWake(stream);
}

void claim_task::append(std::int32_t stream, const append_action &action)
{
    stream_state &target = m_streams[static_cast<std::size_t>(stream)];
    m_log.append(target.name, action.payload, [this, stream, alive = std::weak_ptr<bool>(m_alive)](const append_result &result) {
        if (alive.expired()) {
            return;
        }
        if (result.status != append_status::appended) {
            m_logger.debug("append not confirmed", {{"stream", stream}, {"reason", result.reason}});
        }
        perform(
            stream,
            m_streams[static_cast<std::size_t>(stream)].coordinator->appendCompleted({kindOf(result.status), result.offset, result.retryAfter}, readClocks()));
    });
}

void claim_task::read(std::int32_t stream, const read_action &action)
{
    stream_state &target = m_streams[static_cast<std::size_t>(stream)];
    m_log.read(target.name, action.from, action.maximumRecords, duration::zero(),
               [this, stream, alive = std::weak_ptr<bool>(m_alive)](const read_result &result) {
                   if (alive.expired()) {
                       return;
                   }
                   read_response response{kindOf(result.status), {}, result.earliest, result.head};
                   for (const log_record &record : result.records) {
                       response.records.push_back({record.offset, record.payload});
                   }
                   perform(stream, m_streams[static_cast<std::size_t>(stream)].coordinator->readCompleted(response, readClocks()));
               });
}

void claim_task::scheduleWake(std::int32_t stream)
{
    stream_state &target = m_streams[static_cast<std::size_t>(stream)];
    const auto wake = target.coordinator->nextWake();
    if (!wake) {
        target.wakeTimer.cancel();
        return;
    }

    const duration delay = std::max(*wake - m_loop.now(), duration::zero());
    target.wakeTimer = m_loop.after(delay, [this, stream] { perform(stream, m_streams[static_cast<std::size_t>(stream)].coordinator->tick(readClocks())); });
}

std::vector<std::pair<std::int32_t, coordinator_status>> claim_task::status() const
{
    std::vector<std::pair<std::int32_t, coordinator_status>> rows;
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        const coordinator_status status = m_streams[index].coordinator->status();
        if (status.isActive) {
            rows.emplace_back(static_cast<std::int32_t>(index), status);
        }
    }
    return rows;
}

} // namespace parsleyglade
