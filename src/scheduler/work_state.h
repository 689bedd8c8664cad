#pragma once

#include <array>
#include <string_view>

namespace parsleyglade {

/** State of a job as seen by callers. The numeric values are stored in journal records and must not change. */
enum class work_state {
    queued = 0, /**< Accepted; no task has started. */
    running = 1,
    completed = 2, /**< Every task of every occurrence has completed successfully. */
    failed = 3, /**< A task has used up its attempts. */
    cancelled = 4,
};

/** Names of the states, indexed by enum value. */
constexpr std::array<std::string_view, 5> workStateNames{"queued", "running", "completed", "failed", "cancelled"};

constexpr std::string_view name(work_state state)
{
    return workStateNames.at(static_cast<std::size_t>(state));
}

/** Whether the job is finished, so that none of its tasks will be started again. */
constexpr bool isFinal(work_state state)
{
    return state == work_state::completed || state == work_state::failed || state == work_state::cancelled;
}

} // namespace parsleyglade
