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

/** Settings of an attempt_tracker. */
struct attempt_tracker_settings
{
    incarnation_id incarnation{}; /**< Incarnation of this process, written to each claim. */
    std::size_t maximumAttempts = 20'000; /**< Maximum number of running attempts and attempts with an unacknowledged report. */
    duration reportInterval = std::chrono::milliseconds{500}; /**< Delay before an unacknowledged report is repeated; doubles each time. */
    duration maximumReportInterval = std::chrono::seconds{10}; /**< Upper limit of the doubled delay, without jitter. */
    std::size_t maximumResponseBytes = std::size_t{64} * 1024; /**< Size of the largest response that is cached for reports, in bytes. */
    std::size_t responseCacheBytes = std::size_t{8} * 1024 * 1024; /**< Capacity of the response cache, in bytes. */
};

/** A non-idempotent job to be claimed. */
struct job_to_claim
{
    claim_identity identity;
    std::int64_t fingerprint = 0; /**< Hash of route, method, path and body; not 0. */
    std::int32_t team = 0;
    std::int32_t stream = 0; /**< Claim stream that is responsible for the job. */
    std::chrono::milliseconds wait{0}; /**< How long the coordinator may delay its reply while another attempt is running. */
};

/** The send failed, and it is certain that the job did not start. */
struct send_not_started
{
    result_code code = result_code::endpoint_refused;
};

/** At least one byte was written, but no complete response was received. */
struct send_lost
{
    result_code code = result_code::connection_lost;
};

/** The complete response of the endpoint. */
struct complete_response
{
    wire::kept_answer response;
};

/** Outcome of a send. */
using send_outcome = std::variant<send_not_started, send_lost, complete_response>;

/** Effects of an input to an attempt_tracker. */
struct attempt_decision
{
    job_state jobState = job_state::none;
    job_action action = job_action::none;
    result_code code = result_code::ok; /**< Reason for a state other than completed. */

    /**
     * Only for not_run: the log has not decided the key, so an earlier request with the same key may have run the job. The caller finds out by retrying with
     * the same key. A final not_run applies to the key: when the request arrived, no other request had run the job.
     */
    bool isProvisional = false;

    friend bool operator==(const attempt_decision &, const attempt_decision &) = default;
};

/** Result of cancelling a job at this dispatcher. */
struct cancel_decision
{
    bool isKnown = false; /**< This dispatcher has at least one attempt for the job. */
    bool isStopped = false; /**< None of this dispatcher's attempts has run the job or will run it. */
    std::vector<attempt_id> ended; /**< Attempts that end now; report not_run with code cancelled to their callers. */
    std::vector<attempt_id> running; /**< Attempts to stop at their endpoints if the route is cancellable. */
};

/**
 * Tracks the attempts of a dispatcher to run non-idempotent jobs, within one incarnation.
 *
 * A claimed job may be sent only by the incarnation that claimed it, and only after startSend() has returned true. startSend() permits one send for each
 * grant, and one more each time a send ended with certainty that the job did not start. It never permits a send of an abandoned attempt, even if the grant
 * arrives later. Result reports are repeated until the coordinator acknowledges them. No state survives a restart, since a new process is a new
 * incarnation.
 */
class attempt_tracker
{
public:
    /** @param seed seed of attempt identifiers; must differ between processes */
    attempt_tracker(const attempt_tracker_settings &settings, std::uint64_t seed);
    attempt_tracker(const attempt_tracker &) = delete;
    attempt_tracker &operator=(const attempt_tracker &) = delete;

    /** Creates an attempt and returns its claim request. Fails with queue_full, without running the job, if too many attempts are tracked. */
    outcome<wire::claim_request> begin(const job_to_claim &job);

    /** Returns the claim request again after a missing reply; nothing if the attempt no longer waits for a reply. */
    std::optional<wire::claim_request> repeatRequest(attempt_id attempt);

    /** Handles a coordinator's reply. A grant for an abandoned attempt causes another release report and never a send. */
    attempt_decision claimReplyReceived(attempt_id attempt, const wire::claim_reply &reply, time_point now);

    /** Returns whether the job may be handed to a connection, and if so marks the attempt as sent. Must be called before the first byte is written. */
    [[nodiscard]] bool startSend(attempt_id attempt);

    /** Handles the end of a send that startSend() permitted. */
    attempt_decision sendEnded(attempt_id attempt, const send_outcome &outcome, time_point now);

    /** Abandons an attempt because of its deadline, a missing endpoint or a shutdown. If the job was sent, the caller is only told that it still runs. */
    attempt_decision abandon(attempt_id attempt, result_code code, time_point now);

    /** Abandons every attempt that was not sent and returns them. Report not_run with code shutting_down to their callers. */
    std::vector<attempt_id> abandonUnsent(time_point now);

    /** Cancels all attempts of a job at the request of its caller. An attempt that was already sent cannot be stopped by the tracker. */
    cancel_decision cancel(const claim_identity &identity, time_point now);

    /** Returns reports to send to the coordinator now, in the order in which they became due. Each becomes due again after an increasing interval. */
    std::vector<wire::result_report> dueReports(time_point now, std::size_t maximum);

    /** Handles a coordinator's acknowledgement. A report that was not recorded will be repeated. */
    void reportAcknowledged(const wire::result_entry &report, bool isRecorded);

    /** Time at which the next report becomes due; nothing if no report is unacknowledged. */
    std::optional<time_point> nextReport() const;

    /** State of an attempt; nothing if it is not tracked or no longer tracked. */
    std::optional<attempt_state> stateOf(attempt_id attempt) const;

    /** Number of running attempts and attempts with an unacknowledged report. */
    std::size_t size() const;

private:
    struct attempt_record
    {
        job_to_claim job;
        attempt_state state = attempt_state::claiming;
        job_state jobState = job_state::none;
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
