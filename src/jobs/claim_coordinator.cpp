#include "jobs/claim_coordinator.h"

#include <algorithm>

namespace parsleyglade {

claim_coordinator::claim_coordinator(const coordinator_settings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_responses(settings.maximumResponseBytes, settings.responseCacheBytes)
    , m_failureDetector(settings.dispatcherLostTimeout)
    , m_snapshots(settings)
{
}

coordinator_actions claim_coordinator::start(const clock_reading &at)
{
    beginInput(at);
    if (!m_isActive) {
        m_isActive = true;
        m_reader.startCatchUp();
        m_snapshots.start(at.now);
        m_contactAt = at.now;
        m_readAt = at.now;
        m_readDelay = {};
        m_housekeepingAt = at.now;
    }
    return finishInput();
}

coordinator_actions claim_coordinator::stop(const clock_reading &at)
{
    beginInput(at);
    m_isActive = false;
    m_queue.clear();
    m_barriers.clear();
    m_batch = {};
    for (const reply_handle handle : m_requests.all()) {
        finish(handle, undecidedReply(*m_requests.find(handle), result_code::coordinator_unreachable));
    }
    acknowledgeAll(m_reports.removeAll());
    return finishInput();
}

coordinator_actions claim_coordinator::request(reply_handle handle, const wire::claim_request &request, const clock_reading &at)
{
    beginInput(at);
    const auto key = job_key::fromBytes(request.claim.key);
    if (!key) {
        m_actions.emplace_back(reply_action{handle, makeReply(wire::claim_verdict::refused, key.lastReason().code, key.lastReason().reason)});
        return finishInput();
    }
    if (!request.queryOnly) {
        m_failureDetector.recordActivity(incarnation_id{request.claim.dispatcher}, at.now);
    }
    if (key->created() <= at.wall + m_settings.futureTolerance) {
        m_newestRequested = std::max(m_newestRequested, key->created());
    }

    pending_claim_request pending;
    pending.request = request;
    pending.identity = {*key, caller_id{request.claim.caller}};
    const duration wait = std::chrono::milliseconds{std::max(request.waitMilliseconds, 0)};
    pending.waitUntil = at.now + std::min(wait, m_settings.maximumWait);
    pending.deadline = at.now + m_settings.appendDeadline;
    const bool isFull = m_requests.size() >= m_settings.maximumPendingRequests;
    m_requests.add(handle, std::move(pending));
    if (!m_isActive) {
        finish(handle, undecidedReply(*m_requests.find(handle), result_code::coordinator_unreachable));
        return finishInput();
    }

    evaluate(handle);
    if (const pending_claim_request *remaining = m_requests.find(handle); remaining != nullptr && isFull) {
        const pending_claim_request copy = *remaining;
        finish(handle, undecidedReply(copy, result_code::queue_full));
        withdrawQueuedClaim(copy);
    }
    return finishInput();
}

coordinator_actions claim_coordinator::report(reply_handle handle, const wire::result_report &report, const clock_reading &at)
{
    beginInput(at);
    const bool isFull = m_reports.size() >= m_settings.maximumPendingRequests;
    const auto key = m_isActive && !isFull ? m_reports.add(report.result, report.__isset.answer ? std::optional(report.answer) : std::nullopt) : std::nullopt;
    if (!key) {
        acknowledgeAll({handle});
        return finishInput();
    }

    m_reports.find(*key)->waiting[handle] = at.now + m_settings.appendDeadline;
    const claim_record *record = fold().find(std::get<claim_identity>(*key));
    if (record != nullptr && record->attempt == std::get<attempt_id>(*key)) {
        m_failureDetector.recordActivity(record->dispatcher, at.now);
    }
    evaluateReport(*key, false);
    return finishInput();
}

void claim_coordinator::forget(reply_handle handle)
{
    if (const pending_claim_request *pending = m_requests.find(handle)) {
        const pending_claim_request copy = *pending;
        m_requests.remove(handle);
        withdrawQueuedClaim(copy);
    }
}

void claim_coordinator::dispatcherActive(incarnation_id dispatcher, const clock_reading &at)
{
    m_failureDetector.observe(at.now);
    m_failureDetector.recordActivity(dispatcher, at.now);
}

coordinator_actions claim_coordinator::dispatcherExited(incarnation_id dispatcher, const clock_reading &at)
{
    beginInput(at);
    m_failureDetector.recordExit(dispatcher);
    m_housekeepingAt = at.now;
    return finishInput();
}

const claim_fold &claim_coordinator::fold() const
{
    return m_reader.fold();
}

coordinator_status claim_coordinator::status() const
{
    coordinator_status status;
    status.isActive = m_isActive;
    status.isCaughtUp = m_reader.isCaughtUp();
    status.nextOffset = fold().nextOffset();
    status.weight = fold().weight();
    status.openClaims = fold().openClaims().size();
    status.pendingRequests = m_requests.size();
    status.pendingReports = m_reports.size();
    status.corruptRecords = fold().corruptCount();
    status.appends = m_appends;
    status.appendedBytes = m_appendedBytes;
    status.horizon = fold().horizon();
    return status;
}

void claim_coordinator::evaluate(reply_handle handle)
{
    pending_claim_request *pending = m_requests.find(handle);
    if (pending == nullptr || !m_reader.isCaughtUp()) {
        return;
    }

    const claim_record *record = fold().find(pending->identity);
    if (record != nullptr && record->state != claim_state::released) {
        // A queued claim cannot win any more.
        m_queue.erase(pending->identity);
    }

    const claim_evaluation evaluation = evaluateClaim(record, fold().isExpired(pending->identity.key), pending->request);
    if (auto reply = replyFor(evaluation, record)) {
        if (evaluation == claim_evaluation::completed) {
            if (const auto response = m_responses.find(pending->identity)) {
                reply->code = static_cast<std::int32_t>(result_code::ok);
                reply->reason.clear();
                reply->__set_answer(*response);
            }
        }
        finish(handle, *reply);
    } else if (evaluation == claim_evaluation::open) {
        joinOpenClaim(handle, *pending, *record);
    } else {
        claimOrQuery(handle, *pending);
    }
}

void claim_coordinator::evaluateAfterBarrier(reply_handle handle)
{
    if (pending_claim_request *pending = m_requests.find(handle)) {
        pending->isAwaitingBarrier = false;
        pending->hasPassedBarrier = true;
        evaluate(handle);
    }
    if (pending_claim_request *pending = m_requests.find(handle)) {
        pending->hasPassedBarrier = false;
    }
}

void claim_coordinator::evaluateAll()
{
    for (const reply_handle handle : m_requests.all()) {
        evaluate(handle);
    }
    for (const report_key &key : m_reports.all()) {
        evaluateReport(key, false);
    }
}

void claim_coordinator::evaluateJob(const claim_identity &identity)
{
    for (const reply_handle handle : m_requests.handlesOf(identity)) {
        evaluate(handle);
    }
}

void claim_coordinator::joinOpenClaim(reply_handle handle, pending_claim_request &pending, const claim_record &record)
{
    pending.isJoined = true;
    if (m_at.now < pending.waitUntil) {
        m_requests.setDeadline(handle, pending.waitUntil);
        return;
    }

    wire::claim_reply reply = makeReply(wire::claim_verdict::still_running, result_code::still_running, "the job was claimed and has not ended yet");
    reply.dispatcher = static_cast<std::int64_t>(record.dispatcher);
    reply.attempt = static_cast<std::int64_t>(record.attempt);
    finish(handle, reply);
}

void claim_coordinator::claimOrQuery(reply_handle handle, pending_claim_request &pending)
{
    if (pending.isJoined) {
        pending.isJoined = false;
        m_requests.setDeadline(handle, m_at.now + m_settings.appendDeadline);
    }

    // The fold may be stale, so a negative reply is only sent after an append by this process has revealed all earlier records.
    const auto negative = pending.request.queryOnly ? std::optional(unclaimedReply(pending)) : refusalReply(pending);
    if (negative && pending.hasPassedBarrier) {
        finish(handle, *negative);
    } else if (negative) {
        awaitBarrier(handle, pending);
    } else if (pending.isDecided) {
        // A claim that was applied but not recorded means that the fold has reached its capacity. A duplicate of the batch may still succeed later, so
        // the code makes the dispatcher release the claim.
        finish(handle,
               makeReply(wire::claim_verdict::refused, result_code::log_unavailable,
                         "the claim was appended but not recorded: the claim stream has reached its capacity"));
    } else if (!isPending(pending.identity)) {
        m_queue.emplace(pending.identity, pending.request.claim);
    }
}

void claim_coordinator::awaitBarrier(reply_handle handle, pending_claim_request &pending)
{
    if (!pending.isAwaitingBarrier) {
        pending.isAwaitingBarrier = true;
        m_barriers.push_back(handle);
    }
}

std::optional<wire::claim_reply> claim_coordinator::refusalReply(const pending_claim_request &pending) const
{
    if (isPending(pending.identity)) {
        return std::nullopt;
    }
    if (pending.identity.key.created() > m_at.wall + m_settings.futureTolerance) {
        return makeReply(wire::claim_verdict::refused, result_code::key_in_future, "the creation time of the key is too far in the future");
    }
    if (fold().weight() + m_queue.size() + m_batch.claims.size() >= m_settings.maximumClaims) {
        return makeReply(wire::claim_verdict::refused, result_code::records_full, "the claim stream has reached its maximum number of claims");
    }
    return std::nullopt;
}

wire::claim_reply claim_coordinator::unclaimedReply(const pending_claim_request &pending) const
{
    if (fold().find(pending.identity) != nullptr) {
        return makeReply(wire::claim_verdict::refused, result_code::cancelled, "the job was abandoned before it was sent");
    }
    return makeReply(wire::claim_verdict::not_found, result_code::job_not_found, "no claim exists for the key");
}

wire::claim_reply claim_coordinator::undecidedReply(const pending_claim_request &pending, result_code code) const
{
    if (pending.isJoined) {
        wire::claim_reply reply = makeReply(wire::claim_verdict::still_running, result_code::still_running, "the job was claimed and has not ended yet");
        if (const claim_record *record = fold().find(pending.identity)) {
            reply.dispatcher = static_cast<std::int64_t>(record->dispatcher);
            reply.attempt = static_cast<std::int64_t>(record->attempt);
        }
        return reply;
    }
    const auto verdict = pending.request.queryOnly ? wire::claim_verdict::outcome_unknown : wire::claim_verdict::refused;
    return makeReply(verdict, code, "the request was not decided by the log");
}

void claim_coordinator::finish(reply_handle handle, wire::claim_reply reply)
{
    const pending_claim_request &pending = *m_requests.find(handle);
    const auto inFlight = m_batch.claims.find(pending.identity);
    const bool isInFlight = inFlight != m_batch.claims.end() && inFlight->second == attempt_id{pending.request.claim.attempt};
    if (pending.mayBeWritten || isInFlight) {
        // The claim may still take effect, so the code makes the dispatcher release it, whatever the verdict.
        if (reply.verdict == wire::claim_verdict::refused) {
            reply.code = static_cast<std::int32_t>(result_code::log_unavailable);
        } else if (reply.verdict == wire::claim_verdict::still_running || reply.verdict == wire::claim_verdict::outcome_unknown) {
            reply.code = static_cast<std::int32_t>(result_code::log_append_unknown);
        }
    }
    m_requests.remove(handle);
    m_actions.emplace_back(reply_action{handle, reply});
}

void claim_coordinator::expireRequests()
{
    for (const reply_handle handle : m_requests.expired(m_at.now)) {
        const pending_claim_request *pending = m_requests.find(handle);
        if (pending == nullptr) {
            continue;
        }
        const pending_claim_request copy = *pending;
        finish(handle, undecidedReply(copy, result_code::log_unavailable));
        withdrawQueuedClaim(copy);
    }
}

void claim_coordinator::withdrawQueuedClaim(const pending_claim_request &pending)
{
    const auto queued = m_queue.find(pending.identity);
    if (queued != m_queue.end() && !pending.request.queryOnly && queued->second.attempt == pending.request.claim.attempt) {
        m_queue.erase(queued);
        evaluateJob(pending.identity);
    }
}

bool claim_coordinator::isPending(const claim_identity &identity) const
{
    return m_queue.contains(identity) || m_batch.claims.contains(identity);
}

void claim_coordinator::evaluateReport(const report_key &key, bool isFolded)
{
    pending_report *report = m_reports.find(key);
    if (report == nullptr || !m_reader.isCaughtUp()) {
        return;
    }

    const auto &[identity, attempt, result] = key;
    const bool settled = isSettled(fold(), key, isFolded);
    if (!settled && !isFolded) {
        return;
    }

    const claim_record *record = fold().find(identity);
    const bool isCompletion = record != nullptr && record->state == claim_state::completed && record->attempt == attempt;
    if (isCompletion && result == wire::job_result::completed && report->response) {
        m_responses.store(identity, *report->response);
    }
    for (const auto &[handle, deadline] : report->waiting) {
        m_actions.emplace_back(acknowledge_action{handle, settled});
    }
    m_reports.remove(key);
}

void claim_coordinator::acknowledgeAll(const std::vector<reply_handle> &handles)
{
    for (const reply_handle handle : handles) {
        m_actions.emplace_back(acknowledge_action{handle, false});
    }
}

} // namespace parsleyglade
