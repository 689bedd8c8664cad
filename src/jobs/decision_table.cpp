#include "jobs/decision_table.h"

#include <algorithm>
#include <array>

namespace parsleyglade {

namespace {

using state = attempt_state;
using event = job_event;
using answer = job_answer;
using report = job_report;
using action = job_action;

constexpr std::array table{
    decision_row{state::unclaimed, event::admission_refused, {state::finished, answer::not_run, report::none, action::none}},
    decision_row{state::unclaimed, event::abandoned, {state::finished, answer::not_run, report::none, action::none}},
    decision_row{state::unclaimed, event::cancelled, {state::finished, answer::not_run, report::none, action::none}},

    decision_row{state::claiming, event::claim_granted, {state::granted, answer::none, report::none, action::send}},
    decision_row{state::claiming, event::claim_refused, {state::finished, answer::not_run, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_undecided, {state::finished, answer::not_run, report::released, action::none}},
    decision_row{state::claiming, event::claim_running, {state::finished, answer::still_running, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_completed, {state::finished, answer::completed, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_unknown, {state::finished, answer::outcome_unknown, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_reused, {state::finished, answer::not_run, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_expired, {state::finished, answer::outcome_unknown, report::none, action::none}},
    decision_row{state::claiming, event::abandoned, {state::finished, answer::not_run, report::released, action::none}},
    decision_row{state::claiming, event::cancelled, {state::finished, answer::not_run, report::released, action::none}},

    decision_row{state::granted, event::send_started, {state::sent, answer::none, report::none, action::none}},
    decision_row{state::granted, event::abandoned, {state::finished, answer::not_run, report::released, action::none}},
    decision_row{state::granted, event::cancelled, {state::finished, answer::not_run, report::released, action::none}},

    decision_row{state::sent, event::send_not_started, {state::granted, answer::none, report::none, action::send_again}},
    decision_row{state::sent, event::send_lost, {state::finished, answer::outcome_unknown, report::unknown, action::none}},
    decision_row{state::sent, event::answer_whole, {state::finished, answer::completed, report::completed, action::none}},
    decision_row{state::sent, event::abandoned, {state::sent_given_up, answer::still_running, report::none, action::none}},
    decision_row{state::sent, event::cancelled, {state::sent_given_up, answer::still_running, report::none, action::stop_if_cancellable}},

    decision_row{state::sent_given_up, event::send_not_started, {state::finished, answer::not_run, report::released, action::none}},
    decision_row{state::sent_given_up, event::send_lost, {state::finished, answer::outcome_unknown, report::unknown, action::none}},
    decision_row{state::sent_given_up, event::answer_whole, {state::finished, answer::completed, report::completed, action::none}},
    decision_row{state::sent_given_up, event::abandoned, {state::sent_given_up, answer::still_running, report::none, action::none}},
    decision_row{state::sent_given_up, event::cancelled, {state::sent_given_up, answer::still_running, report::none, action::stop_if_cancellable}},
};

} // namespace

std::span<const decision_row> decisionTable()
{
    return table;
}

job_decision decide(attempt_state current, job_event happened)
{
    const auto *found = std::find_if(table.begin(), table.end(), [&](const decision_row &row) { return row.state == current && row.event == happened; });
    return found == table.end() ? job_decision{current, answer::none, report::none, action::none} : found->decision;
}

std::string_view name(attempt_state value)
{
    constexpr std::array<std::string_view, 6> names{"unclaimed", "claiming", "granted", "sent", "sent_given_up", "finished"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view name(job_event value)
{
    constexpr std::array<std::string_view, 15> names{"admission_refused", "claim_granted",    "claim_refused", "claim_undecided", "claim_running",
                                                     "claim_completed",   "claim_unknown",    "claim_reused",  "claim_expired",   "abandoned",
                                                     "send_started",      "send_not_started", "send_lost",     "answer_whole",    "cancelled"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view name(job_answer value)
{
    constexpr std::array<std::string_view, 5> names{"none", "not-run", "still-running", "outcome-unknown", "completed"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace parsleyglade
