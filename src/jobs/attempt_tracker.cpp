#include "jobs/attempt_tracker.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

namespace {

job_event eventOf(const wire::claim_reply &reply)
{
    const auto code = resultCodeFromNumber(reply.code).value_or(result_code::internal_error);
    const bool isDecided = code != result_code::log_unavailable && code != result_code::coordinator_unreachable && code != result_code::shutting_down
        && code != result_code::internal_error;

    switch (reply.verdict) {
    case wire::claim_verdict::granted:
        return job_event::claim_granted;
    case wire::claim_verdict::still_running:
        return job_event::claim_running;
    case wire::claim_verdict::completed:
        return job_event::claim_completed;
    case wire::claim_verdict::outcome_unknown:
        return job_event::claim_unknown;
    case wire::claim_verdict::key_reused:
        return job_event::claim_reused;
    case wire::claim_verdict::key_expired:
        return job_event::claim_expired;
    case wire::claim_verdict::refused:
    case wire::claim_verdict::not_found:
        break;
    }
    return isDecided ? job_event::claim_refused : job_event::claim_undecided;
}

struct send_event
{
    job_event event;
    result_code code;
};

struct send_event_visitor
{
    send_event operator()(const send_not_started &outcome) const
    {
        return {job_event::send_not_started, outcome.code};
    }

    send_event operator()(const send_lost &outcome) const
    {
        return {job_event::send_lost, outcome.code};
    }

    send_event operator()(const complete_response & /*outcome*/) const
    {
        return {job_event::response_complete, result_code::ok};
    }
};

} // namespace

attempt_tracker::attempt_tracker(const attempt_tracker_settings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_responses(settings.maximumResponseBytes, settings.responseCacheBytes)
{
}

outcome<wire::claim_request> attempt_tracker::begin(const job_to_claim &job)
{
    assert(job.fingerprint != 0);
    if (m_attempts.size() >= m_settings.maximumAttempts) {
        return failure{result_code::queue_full, "too many attempts are in flight or have an unacknowledged report", {}};
    }

    auto attempt = attempt_id{static_cast<std::int64_t>(m_random())};
    while (m_attempts.contains(attempt)) {
        attempt = attempt_id{static_cast<std::int64_t>(m_random())};
    }

    attempt_record record;
    record.job = job;
    m_byIdentity.emplace(job.identity, attempt);
    return requestOf(attempt, m_attempts.emplace(attempt, std::move(record)).first->second);
}

std::optional<wire::claim_request> attempt_tracker::repeatRequest(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.state != attempt_state::claiming) {
        return std::nullopt;
    }

    ++found->second.requests;
    return requestOf(attempt, found->second);
}

attempt_decision attempt_tracker::claimReplyReceived(attempt_id attempt, const wire::claim_reply &reply, time_point now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        // The attempt may have been sent before it was removed, so it must not be released now. Its acknowledged report is in the log.
        return {};
    }

    const bool isGrant = reply.verdict == wire::claim_verdict::granted;
    const bool isOther = isGrant && reply.attempt != static_cast<std::int64_t>(attempt);
    if (isOther) {
        return {};
    }
    auto code = resultCodeFromNumber(reply.code).value_or(result_code::internal_error);
    if (code == result_code::log_append_unknown) {
        // The coordinator cannot rule out that the claim is still appended, which has the same effect as a second request in flight.
        ++found->second.requests;
        code = result_code::dispatcher_lost;
    }
    if (isGrant && found->second.report && found->second.report->result == wire::job_result::released) {
        schedule(attempt, found->second, now);
    }
    return apply(attempt, eventOf(reply), code, now);
}

bool attempt_tracker::startSend(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.state != attempt_state::granted) {
        return false;
    }

    found->second.state = decide(found->second.state, job_event::send_started).next;
    return true;
}

attempt_decision attempt_tracker::sendEnded(attempt_id attempt, const send_outcome &outcome, time_point now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return {};
    }

    const send_event ended = std::visit(send_event_visitor{}, outcome);
    if (const auto *complete = std::get_if<complete_response>(&outcome)) {
        m_responses.store(found->second.job.identity, complete->response);
    }
    attempt_decision decision = apply(attempt, ended.event, ended.code, now);

    const auto *complete = std::get_if<complete_response>(&outcome);
    const auto remaining = m_attempts.find(attempt);
    if (complete != nullptr && remaining != m_attempts.end() && remaining->second.report) {
        remaining->second.report->httpStatus = complete->response.httpStatus;
    }
    return decision;
}

attempt_decision attempt_tracker::abandon(attempt_id attempt, result_code code, time_point now)
{
    return apply(attempt, job_event::abandoned, code, now);
}

std::vector<attempt_id> attempt_tracker::abandonUnsent(time_point now)
{
    std::vector<attempt_id> unsent;
    for (const auto &[attempt, record] : m_attempts) {
        if (record.state == attempt_state::claiming || record.state == attempt_state::granted) {
            unsent.push_back(attempt);
        }
    }
    for (const attempt_id attempt : unsent) {
        abandon(attempt, result_code::shutting_down, now);
    }
    return unsent;
}

cancel_decision attempt_tracker::cancel(const claim_identity &identity, time_point now)
{
    cancel_decision result;
    const auto first = m_byIdentity.lower_bound({identity, attempt_id{std::numeric_limits<std::int64_t>::min()}});
    std::vector<attempt_id> attempts;
    for (auto position = first; position != m_byIdentity.end() && position->first == identity; ++position) {
        attempts.push_back(position->second);
    }

    result.isKnown = !attempts.empty();
    result.isStopped = result.isKnown;
    for (const attempt_id attempt : attempts) {
        const job_state before = m_attempts.at(attempt).jobState;
        const attempt_decision decision = apply(attempt, job_event::cancelled, result_code::cancelled, now);
        if (decision.jobState == job_state::not_run) {
            result.ended.push_back(attempt);
        }
        if (decision.action == job_action::stop_if_cancellable) {
            result.running.push_back(attempt);
        }
        const bool isNotRun = decision.jobState == job_state::not_run || (decision.jobState == job_state::none && before == job_state::not_run);
        result.isStopped = result.isStopped && isNotRun;
    }
    return result;
}

std::vector<wire::result_report> attempt_tracker::dueReports(time_point now, std::size_t maximum)
{
    std::vector<wire::result_report> reports;
    while (!m_reports.empty() && m_reports.begin()->first <= now && reports.size() < maximum) {
        const attempt_id attempt = m_reports.begin()->second;
        attempt_record &record = m_attempts.at(attempt);

        wire::result_report report;
        report.stream = record.job.stream;
        report.result = *record.report;
        if (report.result.result == wire::job_result::completed) {
            if (const auto response = m_responses.find(record.job.identity)) {
                report.__set_answer(*response);
            }
        }
        reports.push_back(std::move(report));

        // A random jitter of up to a quarter prevents many reports from being repeated at the same time.
        record.reportDelay = std::clamp(2 * record.reportDelay, m_settings.reportInterval, m_settings.maximumReportInterval);
        const duration jitter{static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(record.reportDelay.count() / 4 + 1))};
        schedule(attempt, record, now + record.reportDelay + jitter);
    }
    return reports;
}

void attempt_tracker::reportAcknowledged(const wire::result_entry &report, bool isRecorded)
{
    const auto found = m_attempts.find(attempt_id{report.attempt});
    if (isRecorded && found != m_attempts.end() && found->second.report && found->second.report->result == report.result) {
        forget(found->first);
    }
}

std::optional<time_point> attempt_tracker::nextReport() const
{
    return m_reports.empty() ? std::nullopt : std::optional(m_reports.begin()->first);
}

std::optional<attempt_state> attempt_tracker::stateOf(attempt_id attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? std::nullopt : std::optional(found->second.state);
}

std::size_t attempt_tracker::size() const
{
    return m_attempts.size();
}

attempt_decision attempt_tracker::apply(attempt_id attempt, job_event event, result_code code, time_point now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return {};
    }

    attempt_record &record = found->second;
    const attempt_state before = record.state;
    const job_decision decision = decide(before, event);
    record.state = decision.next;
    if (decision.next == attempt_state::sent_abandoned && before != decision.next) {
        record.abandonCode = code;
    }
    if (before == attempt_state::sent_abandoned && event == job_event::send_not_started) {
        code = record.abandonCode;
    }
    if (decision.jobState != job_state::none) {
        record.jobState = decision.jobState;
    }

    const bool isRefused = event == job_event::claim_refused || event == job_event::claim_reused;
    const bool isProvisional = decision.jobState == job_state::not_run && before == attempt_state::claiming && !isRefused;
    const attempt_decision result{decision.jobState, decision.action, decision.jobState == job_state::still_running ? result_code::still_running : code,
                                  isProvisional};
    if (before != attempt_state::finished && decision.next == attempt_state::finished) {
        setReport(attempt, record, decision.report, code, now);
    }
    return result;
}

void attempt_tracker::setReport(attempt_id attempt, attempt_record &record, job_report report, result_code code, time_point now)
{
    const bool isReleased = report == job_report::released || (report == job_report::released_if_repeated && record.requests > 1);
    if (!isReleased && report != job_report::completed && report != job_report::unknown) {
        forget(attempt);
        return;
    }

    wire::result_entry entry;
    entry.key = record.job.identity.key.bytes();
    entry.caller = static_cast<std::int64_t>(record.job.identity.caller);
    entry.attempt = static_cast<std::int64_t>(attempt);
    entry.result = wire::job_result::released;
    if (report == job_report::completed) {
        entry.result = wire::job_result::completed;
    } else if (report == job_report::unknown) {
        entry.result = wire::job_result::unknown;
        entry.httpStatus = static_cast<std::int16_t>(code);
    }
    record.report = std::move(entry);
    schedule(attempt, record, now);
}

void attempt_tracker::schedule(attempt_id attempt, attempt_record &record, time_point at)
{
    m_reports.erase({record.reportAt, attempt});
    record.reportAt = at;
    m_reports.emplace(at, attempt);
}

void attempt_tracker::forget(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    m_reports.erase({found->second.reportAt, attempt});
    m_byIdentity.erase({found->second.job.identity, attempt});
    m_attempts.erase(found);
}

wire::claim_request attempt_tracker::requestOf(attempt_id attempt, const attempt_record &record) const
{
    wire::claim_request request;
    request.stream = record.job.stream;
    request.claim.key = record.job.identity.key.bytes();
    request.claim.caller = static_cast<std::int64_t>(record.job.identity.caller);
    request.claim.fingerprint = record.job.fingerprint;
    request.claim.dispatcher = static_cast<std::int64_t>(m_settings.incarnation);
    request.claim.attempt = static_cast<std::int64_t>(attempt);
    request.claim.team = record.job.team;
    request.waitMilliseconds = static_cast<std::int32_t>(record.job.wait.count());
    request.queryOnly = false;
    return request;
}

} // namespace parsleyglade
