#include "entry/job_task.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr duration cancelTimeout = std::chrono::seconds{2};
constexpr duration stopRequestTimeout = std::chrono::seconds{1};

/** Time allowed beyond a forwarded job's deadline for the reply to arrive. */
constexpr duration forwardReplyAllowance = std::chrono::milliseconds{500};

wire::forward_request makeForward(const job &forwarded, time_point now)
{
    wire::forward_request made;
    made.requestId = forwarded.requestId;
    made.method = forwarded.request.method;
    made.path = forwarded.request.path;
    made.query = forwarded.request.query;
    made.headers.insert(forwarded.request.headers.begin(), forwarded.request.headers.end());
    made.body = forwarded.request.body;
    made.caller = forwarded.caller;
    made.key = forwarded.key ? forwarded.key->bytes() : std::string();
    made.deadlineMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(forwarded.deadline - now).count();
    return made;
}

job_outcome outcomeOf(const wire::forward_reply &reply)
{
    job_outcome outcome;
    outcome.code = resultCodeFromNumber(reply.code).value_or(result_code::internal_error);
    outcome.reason = reply.reason;
    if (reply.__isset.answer) {
        outcome.jobState = job_state::completed;
        outcome.response = {reply.answer.httpStatus, {{"Content-Type", reply.answer.contentType}}, reply.answer.body};
    } else if (outcome.code == result_code::answer_not_kept) {
        outcome.jobState = job_state::completed;
    } else if (outcome.code == result_code::still_running) {
        outcome.jobState = job_state::still_running;
    } else {
        outcome.jobState = reply.started ? job_state::outcome_unknown : job_state::not_run;
    }
    return outcome;
}

wire::forward_reply toReply(const job_outcome &outcome)
{
    wire::forward_reply reply;
    reply.started = outcome.jobState != job_state::not_run;
    reply.code = static_cast<std::int32_t>(outcome.code);
    reply.reason = outcome.reason;
    if (outcome.jobState == job_state::completed && outcome.code == result_code::ok) {
        wire::kept_answer wireResponse;
        wireResponse.httpStatus = static_cast<std::int16_t>(outcome.response.status);
        wireResponse.contentType = std::string(findHeader(outcome.response.headers, "Content-Type").value_or("application/octet-stream"));
        wireResponse.body = outcome.response.body;
        reply.__set_answer(wireResponse);
    }
    return reply;
}

} // namespace

std::vector<std::string> job_task::peersWithPool(const std::string &pool) const
{
    const auto *published = m_tables->pools().findPool(pool);
    std::vector<std::string> names;
    for (const peer_state &peer : m_peers.livePeers()) {
        const bool isOtherDataCentre = peer.identity.dataCentre != m_settings.dataCentre && peer.heartbeat.ready;
        const bool hasHosts = published != nullptr && std::any_of(published->hosts.begin(), published->hosts.end(), [&](const pool_host &host) {
                                  return host.dataCentre == peer.identity.dataCentre;
                              });
        if (isOtherDataCentre && hasHosts) {
            names.push_back(peer.identity.entryHost);
        }
    }
    return names;
}

void job_task::forwardToPeer(const std::shared_ptr<job> &forwarded, int attemptsLeft)
{
    const std::vector<std::string> names = attemptsLeft > 0 ? peersWithPool(forwarded->matchedRoute.pool) : std::vector<std::string>();
    if (names.empty()) {
        abandonJob(forwarded, result_code::no_endpoint, m_dispatch.retryAfter());
        return;
    }

    // The job's identifier selects the peer, which spreads jobs so that one data centre does not receive them all.
    const std::string &target = names[forwarded->id % names.size()];
    forwarded->isSent = true;
    wire::peer_message message;
    message.__set_forward(makeForward(*forwarded, m_loop.now()));
    m_peers.request(target, message, forwarded->deadline - m_loop.now() + forwardReplyAllowance,
                    [this, forwarded, attemptsLeft, alive = std::weak_ptr<bool>(m_alive)](const outcome<wire::peer_message> &reply) {
                        if (alive.expired()) {
                            return;
                        }
                        if (reply && reply->__isset.forwardReply) {
                            finish(forwarded, outcomeOf(reply->forwardReply));
                            return;
                        }

                        forwarded->mayHaveStarted = true;
                        const bool mayTryAgain = forwarded->matchedRoute.idempotent && m_loop.now() < forwarded->deadline;
                        if (mayTryAgain && attemptsLeft > 1) {
                            forwardToPeer(forwarded, attemptsLeft - 1);
                            return;
                        }
                        finish(forwarded,
                               {job_state::outcome_unknown,
                                result_code::connection_lost,
                                "the entry host that the job was forwarded to did not reply",
                                m_dispatch.retryAfter(),
                                {}});
                    });
}

void job_task::serveForward(const wire::forward_request &forward, const peer_server::reply_function &reply)
{
    const auto sendReply = [reply](const job_outcome &outcome) {
        wire::peer_message made;
        made.__set_forwardReply(toReply(outcome));
        reply(made);
    };

    const route *matchedRoute = m_tables->findRoute(forward.method, forward.path);
    const auto known = std::find_if(m_settings.callers.begin(), m_settings.callers.end(),
                                    [&](const caller_settings &candidate) { return candidate.name == forward.caller; });
    const auto key = job_key::fromBytes(forward.key);
    if (matchedRoute == nullptr || known == m_settings.callers.end() || (!matchedRoute->idempotent && !key)) {
        sendReply({job_state::outcome_unknown,
                   result_code::unknown_route,
                   "the entry host that the job was forwarded to does not know the route or the caller",
                   {},
                   {}});
        return;
    }

    const auto receivedJob = std::make_shared<job>();
    receivedJob->matchedRoute = *matchedRoute;
    receivedJob->caller = known->name;
    receivedJob->callerId = known->id();
    receivedJob->share = known->share;
    if (key) {
        receivedJob->key = *key;
    }
    receivedJob->requestId = forward.requestId;
    receivedJob->request = {forward.method, forward.path, forward.query, {forward.headers.begin(), forward.headers.end()}, forward.body};
    receivedJob->arrivedAt = m_loop.now();
    receivedJob->deadline
        = m_loop.now() + std::chrono::milliseconds{std::clamp<std::int64_t>(forward.deadlineMilliseconds, 0, matchedRoute->deadlineMilliseconds)};
    receivedJob->isForwarded = true;
    receivedJob->done = sendReply;
    submit(receivedJob);
}

bool job_task::serve(wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (message.__isset.forward) {
        serveForward(message.forward, reply);
        return true;
    }

    if (message.__isset.cancel) {
        wire::cancel_reply made;
        const auto key = job_key::fromBytes(message.cancel.key);
        made.stopped = key && cancelLocally({*key, caller_id{message.cancel.caller}}).isStopped;
        wire::peer_message response;
        response.__set_cancelReply(made);
        reply(response);
        return true;
    }

    return false;
}

cancel_decision job_task::cancelLocally(const claim_identity &identity)
{
    cancel_decision decision = m_attemptTracker.cancel(identity, m_loop.now());
    for (const attempt_id attempt : decision.ended) {
        if (const auto ended = jobOf(attempt)) {
            m_dispatch.cancelQueued(*ended);
            // It is not known here whether an earlier attempt ran. The cancelling request queries the log for that.
            finish(ended, {job_state::outcome_unknown, result_code::cancelled, "cancelled by its caller before it was sent", {}, {}});
        }
    }
    requestEndpointsToStop(decision.running);
    return decision;
}

void job_task::requestEndpointsToStop(const std::vector<attempt_id> &attempts)
{
    for (const attempt_id attempt : attempts) {
        const auto running = jobOf(attempt);
        if (running && running->matchedRoute.cancellable) {
            m_dispatch.requestStop(*running, stopRequestTimeout);
        }
    }
}

void job_task::cancel(const job_key &key, caller_id caller, outcome_callback done)
{
    const cancel_decision localDecision = cancelLocally({key, caller});
    if (localDecision.isKnown && localDecision.running.empty() && localDecision.isStopped) {
        // Another entry host may hold the claim, so the log decides the outcome.
        query(key, caller, [done = std::move(done)](job_outcome outcome) {
            if (outcome.jobState == job_state::not_run) {
                outcome.code = result_code::cancelled;
            }
            done(outcome);
        });
        return;
    }

    wire::claim_request request;
    request.stream = m_claims.streamOf(key);
    request.claim.key = key.bytes();
    request.claim.caller = static_cast<std::int64_t>(caller);
    request.claim.dispatcher = static_cast<std::int64_t>(m_peers.incarnation());
    request.queryOnly = true;
    m_claims.claim(request, [this, key, caller, done = std::move(done)](const wire::claim_reply &reply) {
        const std::string dispatcher = m_peers.entryHostOf(incarnation_id{reply.dispatcher});
        if (reply.verdict != wire::claim_verdict::still_running || dispatcher.empty()) {
            query(key, caller, done);
            return;
        }

        wire::cancel_request cancelRequest;
        cancelRequest.key = key.bytes();
        cancelRequest.caller = static_cast<std::int64_t>(caller);
        wire::peer_message message;
        message.__set_cancel(cancelRequest);
        m_peers.request(dispatcher, message, cancelTimeout, [this, key, caller, done](const outcome<wire::peer_message> &response) {
            if (response && response->__isset.cancelReply && response->cancelReply.stopped) {
                done({job_state::not_run, result_code::cancelled, "cancelled before it was sent", {}, {}});
                return;
            }
            query(key, caller, done);
        });
    });
}

} // namespace parsleyglade
