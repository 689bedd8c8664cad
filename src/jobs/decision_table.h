#pragma once

#include <span>
#include <string_view>

namespace parsleyglade {

/** State of a dispatcher's attempt to run a job. */
enum class attempt_state {
    unclaimed, /**< Before the first claim request. */
    claiming, /**< A claim request is in flight. */
    granted, /**< The attempt holds the claim; the job may be sent. */
    sent, /**< The job has been handed to a connection. */
    sent_abandoned, /**< Sent, but the caller has cancelled the job or its deadline has passed. */
    finished, /**< Decided; a report may still be unacknowledged. */
};

/** Event that affects an attempt. */
enum class job_event {
    admission_refused, /**< Refused by admission control or a limit, or because of an unknown route or an invalid key. */
    claim_granted, /**< The coordinator granted the claim. */
    claim_refused, /**< The coordinator refused the claim and did not write it. */
    claim_undecided, /**< The coordinator or the log gave no decision; the claim may be in the log or may still be appended. */
    claim_running, /**< Another attempt holds an open claim. */
    claim_completed, /**< Another attempt has completed the job. */
    claim_unknown, /**< The outcome of another attempt is unknown. */
    claim_reused, /**< The key was used for a different request. */
    claim_expired, /**< The key is older than the expiry horizon. */
    abandoned, /**< The deadline of the caller or the queue has passed, no endpoint is available, or the process is shutting down. */
    send_started, /**< The job was handed to a connection. */
    send_not_started, /**< The connection failed before the first byte was written, or the endpoint refused with Job-Not-Started. */
    send_lost, /**< At least one byte was written, but no complete response was received. */
    response_complete, /**< The complete response of the endpoint was received. */
    cancelled, /**< The caller cancelled the job. */
};

/** State of a job as reported to its caller. */
enum class job_state {
    none, /**< Nothing is reported: the state is not decided yet, or was already reported. */
    not_run, /**< This attempt did not start the job and never will. */
    still_running, /**< The job was sent or claimed and has not ended. */
    outcome_unknown, /**< The job may or may not have run. */
    completed, /**< The job ran and its response is complete. */
};

/** Result reported to the coordinator; repeated until it is acknowledged. */
enum class job_report {
    none,
    released,
    released_if_repeated, /**< Released if the claim was requested more than once, because a duplicate may still be in flight. */
    completed,
    unknown,
};

/** Next action of the dispatcher. */
enum class job_action {
    none,
    send,
    send_again, /**< Retry on another endpoint under the same claim, or abandon the attempt. */
    stop_if_cancellable, /**< Ask the endpoint to stop the job if its route is cancellable. */
};

/** State transition of an attempt and its effects. */
struct job_decision
{
    attempt_state next = attempt_state::finished;
    job_state jobState = job_state::none;
    job_report report = job_report::none;
    job_action action = job_action::none;

    friend bool operator==(const job_decision &, const job_decision &) = default;
};

/** Row of the decision table. */
struct decision_row
{
    attempt_state state;
    job_event event;
    job_decision decision;
};

/** Transitions of the attempts of non-idempotent jobs. A state and event without a row have no effect. */
std::span<const decision_row> decisionTable();

/** Returns the transition for an event; it keeps the state and has no effects if the table has no row for it. */
job_decision decide(attempt_state state, job_event event);

/** Name of a value. It may differ from the enumerator. The name of a job_state is sent to callers in the Job-State header. */
std::string_view name(attempt_state state);
std::string_view name(job_event event);
std::string_view name(job_state jobState);

} // namespace parsleyglade
