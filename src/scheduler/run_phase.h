#pragma once

#include <array>
#include <string_view>

namespace parsleyglade {

/** How far one run of a task has got, as the leading scheduler knows it. docs/scheduler.md has the table of transitions. */
enum class run_phase {
    planned, /**< Placed; not in any batch yet. */
    recording, /**< In a batch that the journal has not confirmed. */
    ordered, /**< The start order was sent and may still be answered. */
    unanswered, /**< The start order got no answer; it may have been carried out, or may be later. */
    running, /**< The executor has confirmed the start. */
    stopping, /**< A stop is to be confirmed. */
    stopped, /**< The stop is confirmed; the end, if there is one, is not listed yet. */
    restored, /**< Read from the journal by a new leader; the executor has not been asked yet. */
};

/** Names by number of the phase. */
constexpr std::array<std::string_view, 8> runPhaseNames{"planned", "recording", "ordered", "unanswered", "running", "stopping", "stopped", "restored"};

/** Whether the executor may know of the run. */
constexpr bool mayExistOnExecutor(run_phase phase)
{
    return phase != run_phase::planned && phase != run_phase::recording;
}

constexpr std::string_view name(run_phase phase)
{
    return runPhaseNames.at(static_cast<std::size_t>(phase));
}

} // namespace parsleyglade
