#pragma once

#include <array>
#include <string_view>

namespace parsleyglade {

/** Phase of one run of a task in the leader's view. @see docs/scheduler.md for the table of transitions */
enum class run_phase {
    planned, /**< Placed, but not yet part of a journal batch. */
    recording, /**< Part of a batch that the journal has not confirmed yet. */
    ordered, /**< The start order is in flight. */
    unanswered, /**< The start order got no response. It may have been carried out, or may still be. */
    running, /**< The executor has confirmed the start. */
    stopping, /**< A stop order is to be sent or confirmed. */
    stopped, /**< The stop is confirmed, but the executor may not have reported the end yet. */
    restored, /**< Read from the journal by a new leader that has not polled the executor yet. */
};

/** Names of the phases, indexed by enum value. */
constexpr std::array<std::string_view, 8> runPhaseNames{"planned", "recording", "ordered", "unanswered", "running", "stopping", "stopped", "restored"};

/** Whether a start order of the run may have reached the executor. */
constexpr bool mayExistOnExecutor(run_phase phase)
{
    return phase != run_phase::planned && phase != run_phase::recording;
}

constexpr std::string_view name(run_phase phase)
{
    return runPhaseNames.at(static_cast<std::size_t>(phase));
}

} // namespace parsleyglade
