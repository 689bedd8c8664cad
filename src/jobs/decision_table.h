#pragma once

#include <span>
#include <string_view>

namespace parsleyglade {

/** Where a dispatcher's attempt to run a job stands. */
enum class attempt_state {
    unclaimed, /**< Before the first claim request. */
    claiming, /**< A claim request is under way. */
    granted, /**< The claim is held; the job may be sent. */
    sent, /**< The job has been handed to a connection. */
    sent_given_up, /**< As sent, and the caller has cancelled or its deadline has passed. */
    finished, /**< Decided; a report may still be under way. */
};

/** What happens to an attempt. */
enum class job_event {
    admission_refused, /**< Refused by admission, limits, an unknown route or a bad key. */
    claim_granted,
    claim_refused, /**< The coordinator refused and wrote no claim. */
    claim_undecided, /**< The log or the coordinator did not decide; the claim may be in the log, now or later. */
    claim_running, /**< Another attempt holds an open claim. */
    claim_completed, /**< Another attempt completed. */
    claim_unknown, /**< Another attempt's outcome is unknown. */
    claim_reused, /**< The key belongs to another request. */
    claim_expired, /**< The key is older than the horizon. */
    abandoned, /**< The caller's deadline or the queue's passed, no endpoint was found, or the process shuts down. */
    send_started, /**< The job is handed to a connection. */
    send_not_started, /**< Connection refused or failed before the first byte, or a refusal with Job-Not-Started. */
    send_lost, /**< A byte was written, and no whole answer came. */
    answer_whole, /**< The endpoint's whole answer. */
    cancelled, /**< The caller cancels. */
};

/** What the caller is told. */
enum class job_answer {
    none, /**< Nothing yet, or nothing more. */
    not_run, /**< This attempt certainly did not start the job, and never will. */
    still_running,
    outcome_unknown,
    completed,
};

/** What the coordinator is told, until it acknowledges. */
enum class job_report {
    none,
    released,
    released_if_repeated, /**< Released, when the claim was asked for more than once, so that a copy may still be under way. */
    completed,
    unknown,
};

/** What the dispatcher does next. */
enum class job_action {
    none,
    send,
    send_again, /**< Send elsewhere under the same claim, or abandon the attempt. */
    stop_if_cancellable, /**< Ask the endpoint to stop when the route says cancellable. */
};

/** Consequence of an event. */
struct job_decision
{
    attempt_state next = attempt_state::finished;
    job_answer answer = job_answer::none;
    job_report report = job_report::none;
    job_action action = job_action::none;

    friend bool operator==(const job_decision &, const job_decision &) = default;
};

/** One row of the decision table. */
struct decision_row
{
    attempt_state state;
    job_event event;
    job_decision decision;
};

/** The decision table of non-idempotent jobs. A pair of state and event without a row changes nothing. */
std::span<const decision_row> decisionTable();

/** The consequence of an event in a state. */
job_decision decide(attempt_state state, job_event event);

std::string_view name(attempt_state state);
std::string_view name(job_event event);
std::string_view name(job_answer answer);

} // namespace parsleyglade
