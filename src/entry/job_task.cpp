#include "entry/job_task.h"

#include "core/digest.h"

#include <algorithm>
#include <random>

namespace parsleyglade {

namespace {

/** Maximum time for the coordinator and the log to decide a claim; the job's deadline applies if it is earlier. */
constexpr duration claimTimeout = std::chrono::seconds{4};
constexpr duration claimRetryDelay = std::chrono::milliseconds{100};

/** Maximum time that a request with a repeated key waits for the running attempt; the job's deadline applies if it is earlier. */
constexpr duration maximumJoinWait = std::chrono::seconds{20};

constexpr duration reportInterval = std::chrono::milliseconds{20};
constexpr std::size_t maximumReportsPerRound = 256;

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

attempt_tracker_settings makeAttemptTrackerSettings(incarnation_id incarnation)
{
    attempt_tracker_settings made;
    made.incarnation = incarnation;
    return made;
}

std::int64_t fingerprintOf(const job &fingerprinted)
{
    const http_request &request = fingerprinted.request;
    const std::string digest
        = sha256(fingerprinted.matchedRoute.name + '\n' + request.method + '\n' + request.path + '\n' + request.query + '\n' + request.body);
    const auto value = static_cast<std::int64_t>(hash64(digest));
    return value == 0 ? 1 : value;
}

wire::kept_answer toWireResponse(const http_response &response)
{
    wire::kept_answer wireResponse;
    wireResponse.httpStatus = static_cast<std::int16_t>(response.status);
    wireResponse.contentType = std::string(findHeader(response.headers, "Content-Type").value_or("application/octet-stream"));
    wireResponse.body = response.body;
    return wireResponse;
}

http_response toResponse(const wire::kept_answer &wireResponse)
{
    return {wireResponse.httpStatus, {{"Content-Type", wireResponse.contentType}}, wireResponse.body};
}

job_outcome outcomeOf(const wire::claim_reply &reply)
{
    job_outcome details;
    details.code = resultCodeFromNumber(reply.code).value_or(result_code::internal_error);
    details.reason = reply.reason;
    if (reply.__isset.answer) {
        details.response = toResponse(reply.answer);
    } else if (reply.verdict == wire::claim_verdict::completed) {
        details.code = result_code::answer_not_kept;
    }
    return details;
}

} // namespace

job_task::job_task(event_loop &loop, const entry_settings &settings, peer_task &peers, claim_task &claims, fleet_task &fleet, endpoint_task &endpoints)
    : m_loop(loop)
    , m_settings(settings)
    , m_peers(peers)
    , m_claims(claims)
    , m_attemptTracker(makeAttemptTrackerSettings(peers.incarnation()), randomSeed())
    , m_dispatch(loop, settings, peers, fleet, endpoints, *this)
    , m_reportTimer(loop.every(reportInterval, [this] { sendReports(); }))
{
}

dispatch_task &job_task::dispatch()
{
    return m_dispatch;
}

const dispatch_task &job_task::dispatch() const
{
    return m_dispatch;
}

void job_task::setTables(const std::shared_ptr<const tables> &published)
{
    m_tables = published;
    m_dispatch.setTables(published);
}

void job_task::setEndObserver(end_observer observer)
{
    m_observer = std::move(observer);
}

std::size_t job_task::activeJobs() const
{
    return m_jobs.size();
}

bool job_task::isIdle() const
{
    return m_jobs.empty() && m_attemptTracker.size() == 0;
}

void job_task::submit(const std::shared_ptr<job> &submitted)
{
    submitted->id = m_nextId++;
    active_job &active = m_jobs[submitted->id];
    active.accepted = submitted;
    active.responseTimer = m_loop.after(submitted->deadline - m_loop.now(), [this, id = submitted->id] { handleDeadline(id); });

    if (m_isStopping) {
        abandonJob(submitted, result_code::shutting_down);
        return;
    }

    if (!m_dispatch.hasEndpoint(submitted->matchedRoute.pool)) {
        const int targets = submitted->isForwarded ? 0 : 2;
        forwardToPeer(submitted, targets);
        return;
    }

    if (submitted->matchedRoute.idempotent) {
        offer(submitted);
    } else {
        beginClaim(submitted);
    }
}

void job_task::beginClaim(const std::shared_ptr<job> &claimed)
{
    active_job &active = m_jobs.at(claimed->id);
    const duration untilDeadline = std::max(claimed->deadline - m_loop.now(), duration::zero());
    job_to_claim jobToClaim;
    jobToClaim.identity = {*claimed->key, claimed->callerId};
    jobToClaim.fingerprint = fingerprintOf(*claimed);
    jobToClaim.stream = m_claims.streamOf(*claimed->key);
    jobToClaim.wait = std::chrono::duration_cast<std::chrono::milliseconds>(std::min(maximumJoinWait, untilDeadline * 9 / 10));

    const auto request = m_attemptTracker.begin(jobToClaim);
    if (!request) {
        abandonJob(claimed, request.lastReason().code, m_dispatch.retryAfter());
        return;
    }

    active.claim = *request;
    active.claimDeadline = m_loop.now() + std::min(claimTimeout, untilDeadline);
    claimed->attempt = attempt_id{request->claim.attempt};
    m_byAttempt[*claimed->attempt] = claimed->id;
    requestClaim(claimed->id);
}

void job_task::requestClaim(std::uint64_t id)
{
    m_claims.claim(*m_jobs.at(id).claim, [this, id, alive = std::weak_ptr<bool>(m_alive)](const wire::claim_reply &reply) {
        if (!alive.expired()) {
            claimReplyReceived(id, reply);
        }
    });
}

void job_task::claimReplyReceived(std::uint64_t id, const wire::claim_reply &reply)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }

    active_job &active = found->second;
    const auto claimedJob = active.accepted;
    const bool isTransient = reply.verdict == wire::claim_verdict::refused && reply.code == static_cast<int>(result_code::coordinator_unreachable);
    if (isTransient && m_loop.now() + claimRetryDelay < active.claimDeadline) {
        const auto repeated = m_attemptTracker.repeatRequest(*claimedJob->attempt);
        if (!repeated) {
            return;
        }
        active.claim = *repeated;
        active.claimRetry = m_loop.after(claimRetryDelay, [this, id] { requestClaim(id); });
        return;
    }

    const attempt_decision decision = m_attemptTracker.claimReplyReceived(*claimedJob->attempt, reply, m_loop.now());
    applyDecision(claimedJob, decision, outcomeOf(reply));
}

void job_task::applyDecision(const std::shared_ptr<job> &decided, const attempt_decision &decision, const job_outcome &details)
{
    if (decision.action == job_action::send) {
        offer(decided);
        return;
    }
    if (decision.jobState == job_state::none) {
        return;
    }

    // A caller may send the job under a new key after "not run", so it must hold for every attempt of the job. Until the log has decided the
    // claim, only this attempt is known not to have run; an earlier attempt with the same key may have.
    job_outcome outcome = details;
    outcome.jobState = decision.isProvisional ? job_state::outcome_unknown : decision.jobState;
    if (outcome.code == result_code::ok) {
        outcome.code = decision.code;
    }
    finish(decided, outcome);
}

void job_task::offer(const std::shared_ptr<job> &offered)
{
    const admission_decision decision = m_dispatch.offer(offered);
    if (!decision.isAccepted()) {
        abandonJob(offered, decision.code, decision.retryAfter);
    }
}

void job_task::abandonJob(const std::shared_ptr<job> &abandoned, result_code code, duration retryAfter)
{
    job_outcome outcome;
    outcome.jobState = job_state::not_run;
    outcome.code = code;
    outcome.retryAfter = retryAfter;
    if (abandoned->attempt) {
        const attempt_decision decision = m_attemptTracker.abandon(*abandoned->attempt, code, m_loop.now());
        outcome.jobState = decision.jobState == job_state::none || decision.isProvisional ? job_state::outcome_unknown : decision.jobState;
    } else if (!abandoned->matchedRoute.idempotent || abandoned->mayHaveStarted) {
        outcome.jobState = job_state::outcome_unknown;
    }

    if (outcome.jobState == job_state::outcome_unknown) {
        outcome.reason = "it is not known whether an earlier attempt of the job ran";
    }
    finish(abandoned, outcome);
}

bool job_task::mayStart(job &starting)
{
    return !starting.attempt || m_attemptTracker.startSend(*starting.attempt);
}

void job_task::jobExpired(const std::shared_ptr<job> &dropped)
{
    abandonJob(dropped, result_code::deadline_unreachable, m_dispatch.retryAfter());
}

void job_task::sendEnded(const std::shared_ptr<job> &sent, const call_result &result)
{
    if (!sent->attempt) {
        idempotentSendEnded(sent, result);
        return;
    }

    send_outcome ended;
    job_outcome details;
    if (result.progress == call_progress::responded) {
        ended = complete_response{toWireResponse(result.response)};
        details.response = result.response;
    } else if (result.progress == call_progress::outcome_unknown) {
        ended = send_lost{result.code};
        details.code = result.code;
    } else {
        ended = send_not_started{result_code::endpoint_refused};
        details.code = result_code::endpoint_refused;
    }

    const attempt_decision decision = m_attemptTracker.sendEnded(*sent->attempt, ended, m_loop.now());
    if (decision.action == job_action::send_again) {
        retryOrAbandon(sent, attempt_evidence::certainly_not_started, result_code::endpoint_refused);
        return;
    }
    applyDecision(sent, decision, details);
}

void job_task::idempotentSendEnded(const std::shared_ptr<job> &sent, const call_result &result)
{
    if (result.progress == call_progress::responded) {
        finish(sent, {job_state::completed, result_code::ok, {}, {}, result.response});
        return;
    }

    const bool mayHaveStarted = result.progress == call_progress::outcome_unknown;
    sent->mayHaveStarted = sent->mayHaveStarted || mayHaveStarted;
    retryOrAbandon(sent, mayHaveStarted ? attempt_evidence::may_have_started : attempt_evidence::certainly_not_started,
                   mayHaveStarted ? result.code : result_code::endpoint_refused);
}

void job_task::retryOrAbandon(const std::shared_ptr<job> &failed, attempt_evidence evidence, result_code code)
{
    const bool isWanted = m_jobs.contains(failed->id) && !m_jobs.at(failed->id).hasResponse && !m_isStopping;
    if (isWanted && m_loop.now() < failed->deadline && m_dispatch.tryRetry(*failed, evidence)) {
        offer(failed);
        return;
    }

    if (evidence == attempt_evidence::certainly_not_started) {
        abandonJob(failed, code, m_dispatch.retryAfter());
        return;
    }
    finish(failed, {job_state::outcome_unknown, code, "the endpoint may have run the job", m_dispatch.retryAfter(), {}});
}

void job_task::handleDeadline(std::uint64_t id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }

    const auto lateJob = found->second.accepted;
    if (!lateJob->isSent || !lateJob->attempt) {
        // A job that was sent without an attempt is idempotent or forwarded. Its request times out at about the same deadline and reports the
        // outcome by itself.
        if (!lateJob->isSent) {
            m_dispatch.cancelQueued(*lateJob);
            abandonJob(lateJob, result_code::deadline_unreachable, m_dispatch.retryAfter());
        }
        return;
    }

    const attempt_decision decision = m_attemptTracker.abandon(*lateJob->attempt, result_code::still_running, m_loop.now());
    if (decision.jobState == job_state::still_running) {
        // The caller gets its response now. The job continues, and its result is retained for a request with the same key.
        respond(found->second, {job_state::still_running, result_code::still_running, "the job is still running past its deadline", {}, {}});
        return;
    }
    applyDecision(lateJob, decision, {});
}

void job_task::respond(active_job &active, const job_outcome &outcome)
{
    if (active.hasResponse) {
        return;
    }

    active.hasResponse = true;
    active.responseTimer.cancel();
    const auto &accepted = *active.accepted;
    m_observer(accepted, outcome, m_loop.now() - accepted.arrivedAt);
    accepted.done(outcome);
}

void job_task::finish(const std::shared_ptr<job> &ended, const job_outcome &outcome)
{
    auto node = m_jobs.extract(ended->id);
    if (node.empty()) {
        return;
    }

    if (ended->attempt) {
        m_byAttempt.erase(*ended->attempt);
    }
    respond(node.mapped(), outcome);
}

std::shared_ptr<job> job_task::jobOf(attempt_id attempt) const
{
    const auto found = m_byAttempt.find(attempt);
    return found == m_byAttempt.end() ? nullptr : m_jobs.at(found->second).accepted;
}

void job_task::query(const job_key &key, caller_id caller, outcome_callback done)
{
    wire::claim_request request;
    request.stream = m_claims.streamOf(key);
    request.claim.key = key.bytes();
    request.claim.caller = static_cast<std::int64_t>(caller);
    request.claim.dispatcher = static_cast<std::int64_t>(m_peers.incarnation());
    request.queryOnly = true;
    m_claims.claim(request, [done = std::move(done)](const wire::claim_reply &reply) {
        job_outcome outcome = outcomeOf(reply);
        switch (reply.verdict) {
        case wire::claim_verdict::completed:
            outcome.jobState = job_state::completed;
            break;
        case wire::claim_verdict::still_running:
            outcome.jobState = job_state::still_running;
            break;
        case wire::claim_verdict::not_found:
            outcome.jobState = job_state::not_run;
            outcome.code = result_code::job_not_found;
            break;
        default:
            outcome.jobState = job_state::outcome_unknown;
            break;
        }
        done(outcome);
    });
}

void job_task::stopAccepting()
{
    m_isStopping = true;
    for (const attempt_id attempt : m_attemptTracker.abandonUnsent(m_loop.now())) {
        if (const auto unsent = jobOf(attempt)) {
            m_dispatch.cancelQueued(*unsent);
            finish(unsent, {job_state::outcome_unknown, result_code::shutting_down, "this request was not sent; retry it with the same key", {}, {}});
        }
    }

    std::vector<std::shared_ptr<job>> unsent;
    for (const auto &[id, active] : m_jobs) {
        if (!active.accepted->isSent && !active.accepted->attempt && m_dispatch.cancelQueued(*active.accepted)) {
            unsent.push_back(active.accepted);
        }
    }
    for (const auto &waiting : unsent) {
        abandonJob(waiting, result_code::shutting_down);
    }
}

void job_task::sendReports()
{
    for (const wire::result_report &report : m_attemptTracker.dueReports(m_loop.now(), maximumReportsPerRound)) {
        m_claims.report(report, [this, result = report.result, alive = std::weak_ptr<bool>(m_alive)](bool isRecorded) {
            if (!alive.expired()) {
                m_attemptTracker.reportAcknowledged(result, isRecorded);
            }
        });
    }
}

} // namespace parsleyglade
