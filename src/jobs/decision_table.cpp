#include "jobs/decision_table.h"

#include <algorithm>
#include <array>

namespace parsleyglade {

namespace {

using state = attempt_state;
using event = job_event;
using job = job_state;
using report = job_report;
using action = job_action;

constexpr std::array table{
    decision_row{state::unclaimed, event::admission_refused, {state::finished, job::not_run, report::none, action::none}},
    decision_row{state::unclaimed, event::abandoned, {state::finished, job::not_run, report::none, action::none}},
    decision_row{state::unclaimed, event::cancelled, {state::finished, job::not_run, report::none, action::none}},

    decision_row{state::claiming, event::claim_granted, {state::granted, job::none, report::none, action::send}},
    decision_row{state::claiming, event::claim_refused, {state::finished, job::not_run, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_undecided, {state::finished, job::not_run, report::released, action::none}},
    decision_row{state::claiming, event::claim_running, {state::finished, job::still_running, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_completed, {state::finished, job::completed, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_unknown, {state::finished, job::outcome_unknown, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_reused, {state::finished, job::not_run, report::released_if_repeated, action::none}},
    decision_row{state::claiming, event::claim_expired, {state::finished, job::outcome_unknown, report::none, action::none}},
    decision_row{state::claiming, event::abandoned, {state::finished, job::not_run, report::released, action::none}},
    decision_row{state::claiming, event::cancelled, {state::finished, job::not_run, report::released, action::none}},

    decision_row{state::granted, event::send_started, {state::sent, job::none, report::none, action::none}},
    decision_row{state::granted, event::abandoned, {state::finished, job::not_run, report::released, action::none}},
    decision_row{state::granted, event::cancelled, {state::finished, job::not_run, report::released, action::none}},

    decision_row{state::sent, event::send_not_started, {state::granted, job::none, report::none, action::send_again}},
    decision_row{state::sent, event::send_lost, {state::finished, job::outcome_unknown, report::unknown, action::none}},
    decision_row{state::sent, event::response_complete, {state::finished, job::completed, report::completed, action::none}},
    decision_row{state::sent, event::abandoned, {state::sent_abandoned, job::still_running, report::none, action::none}},
    decision_row{state::sent, event::cancelled, {state::sent_abandoned, job::still_running, report::none, action::stop_if_cancellable}},

    decision_row{state::sent_abandoned, event::send_not_started, {state::finished, job::not_run, report::released, action::none}},
    decision_row{state::sent_abandoned, event::send_lost, {state::finished, job::outcome_unknown, report::unknown, action::none}},
    decision_row{state::sent_abandoned, event::response_complete, {state::finished, job::completed, report::completed, action::none}},
    decision_row{state::sent_abandoned, event::abandoned, {state::sent_abandoned, job::still_running, report::none, action::none}},
    decision_row{state::sent_abandoned, event::cancelled, {state::sent_abandoned, job::still_running, report::none, action::stop_if_cancellable}},
};

} // namespace

std::span<const decision_row> decisionTable()
{
    return table;
}

job_decision decide(attempt_state current, job_event happened)
{
    const auto *found = std::find_if(table.begin(), table.end(), [&](const decision_row &row) { return row.state == current && row.event == happened; });
    return found == table.end() ? job_decision{current, job::none, report::none, action::none} : found->decision;
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

std::string_view name(job_state value)
{
    constexpr std::array<std::string_view, 5> names{"none", "not-run", "still-running", "outcome-unknown", "completed"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace parsleyglade
