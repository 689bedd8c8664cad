#pragma once

#include "core/outcome.h"
#include "core/time_types.h"
#include "jobs/decision_table.h"
#include "jobs/response_cache.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace parsleyglade {

/** Limits of a dispatch ledger. */
struct attempt_tracker_settings
{
    incarnation_id incarnation{};
    std::size_t maximumAttempts = 20'000; /**< Attempts under way, together with those whose report is not acknowledged. */
    duration reportInterval = std::chrono::milliseconds{500}; /**< Time after which an unacknowledged report is repeated; doubles each time. */
    duration maximumReportInterval = std::chrono::seconds{10};
    std::size_t maximumResponseBytes = std::size_t{64} * 1024; /**< Largest answer that is kept for the coordinator, in bytes. */
    std::size_t responseCacheBytes = std::size_t{8} * 1024 * 1024;
};

/** A job for which a claim is asked. */
struct job_to_claim
{
    claim_identity identity;
    std::int64_t fingerprint = 0; /**< Hash of route, method, path and body; not 0. */
    std::int32_t team = 0;
    std::int32_t stream = 0;
    std::chrono::milliseconds wait{0}; /**< How long the coordinator may hold the question when another attempt runs. */
};

/** The send ended with evidence that the job did not start. */
struct send_not_started
{
    result_code code = result_code::endpoint_refused;
};

/** At least one byte was written, and no whole answer came. */
struct send_lost
{
    result_code code = result_code::connection_lost;
};

/** The endpoint's whole answer. */
struct complete_response
{
    wire::kept_answer answer;
};

/** How a send ended. */
using send_outcome = std::variant<send_not_started, send_lost, complete_response>;

/** What an input to the ledger leads to. */
struct attempt_decision
{
    job_answer answer = job_answer::none;
    job_action action = job_action::none;
    result_code code = result_code::ok; /**< Reason of an answer other than completed. */

    /**
     * With not_run: the log has not decided the key, so an earlier request with the same key may have run. The caller learns the truth by asking again with
     * the same key. A not_run that isn't provisional holds for the key: when the request came in, no other had run the job.
     */
    bool isProvisional = false;

    friend bool operator==(const attempt_decision &, const attempt_decision &) = default;
};

/** Result of a cancellation at this dispatcher. */
struct cancel_decision
{
    bool isKnown = false; /**< Whether this dispatcher has an attempt for the job. */
    bool isStopped = false; /**< No attempt of this dispatcher has run or will run. */
    std::vector<attempt_id> ended; /**< Attempts that end now; their waiting callers are answered not_run, cancelled. */
    std::vector<attempt_id> running; /**< Attempts to stop at the endpoint when the route says cancellable. */
};

/**
 * A dispatcher's record of its attempts, for one incarnation.
 *
 * Only this incarnation may send a job that it claimed, and startSend() is the only gate: it opens once for a grant, and again only after evidence that the
 * job did not start. An attempt that was given up never opens it, however late its grant arrives. Reports are repeated until the coordinator acknowledges.
 * Nothing is kept across a restart, since a new process is a new incarnation.
 */
class attempt_tracker
{
public:
    /** @param seed for attempt identifiers; must differ between processes */
    attempt_tracker(const attempt_tracker_settings &settings, std::uint64_t seed);
    attempt_tracker(const attempt_tracker &) = delete;
    attempt_tracker &operator=(const attempt_tracker &) = delete;

    /** Begins an attempt. Fails with queue_full when too many are under way; the job has not run then. */
    outcome<wire::claim_request> begin(const job_to_claim &job);

    /** The request of an attempt that is to be sent again, because no reply came; nothing when the attempt no longer waits for one. */
    std::optional<wire::claim_request> repeatRequest(attempt_id attempt);

    /** A coordinator's reply. A grant for an attempt that was given up leads to another release report, never to a send. */
    attempt_decision claimAnswered(attempt_id attempt, const wire::claim_reply &reply, time_point now);

    /** Asks for leave to hand the job to a connection, before its first byte. Each grant, and each evidence of no start, gives leave once. */
    [[nodiscard]] bool startSend(attempt_id attempt);

    /** The send ended. */
    attempt_decision sendEnded(attempt_id attempt, const send_outcome &outcome, time_point now);

    /** Gives the attempt up: deadline passed, no endpoint, shutting down. After the send it only tells the caller that the job still runs. */
    attempt_decision abandon(attempt_id attempt, result_code code, time_point now);

    /** Gives up every attempt that was not sent. Returns them; their callers are answered not_run, shutting_down. */
    std::vector<attempt_id> abandonUnsent(time_point now);

    /** The caller cancels the job. */
    cancel_decision cancel(const claim_identity &identity, time_point now);

    /** Reports to send to the coordinator now, the longest waiting first. Each falls due again after a growing interval. */
    std::vector<wire::result_report> dueReports(time_point now, std::size_t maximum);

    /** A coordinator's acknowledgement. One that isn't recorded leaves the report to be repeated. */
    void reportAcknowledged(const wire::result_entry &report, bool isRecorded);

    /** When dueReports() has something at the earliest; nothing when no report waits. */
    std::optional<time_point> nextReport() const;

    /** The state of an attempt; nothing when it is not known, or no longer. */
    std::optional<attempt_state> stateOf(attempt_id attempt) const;

    /** Attempts under way or with an unacknowledged report. */
    std::size_t size() const;

private:
    struct attempt_record
    {
        job_to_claim job;
        attempt_state state = attempt_state::claiming;
        job_answer answer = job_answer::none;
        result_code abandonCode = result_code::cancelled;
        int requests = 1;
        std::optional<wire::result_entry> report;
        time_point reportAt{};
        duration reportDelay{};
    };

    attempt_decision apply(attempt_id attempt, job_event event, result_code code, time_point now);
    void setReport(attempt_id attempt, attempt_record &record, job_report report, result_code code, time_point now);
    void schedule(attempt_id attempt, attempt_record &record, time_point at);
    void forget(attempt_id attempt);
    wire::claim_request requestOf(attempt_id attempt, const attempt_record &record) const;

    attempt_tracker_settings m_settings;
    std::mt19937_64 m_random;
    std::map<attempt_id, attempt_record> m_attempts;
    std::set<std::pair<claim_identity, attempt_id>> m_byIdentity;
    std::set<std::pair<time_point, attempt_id>> m_reports;
    response_cache m_responses;
};

} // namespace parsleyglade
