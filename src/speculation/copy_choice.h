#pragma once

#include "core/time_types.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Whether a second copy of a running task is worth its room. */
enum class copy_choice {
    copies,
    executor_not_slow, /**< The task itself is slow, so a copy would be as slow. */
    ends_soon, /**< The run is expected to end before a copy would have gained anything. */
    room_wanted, /**< Tasks without a run wait for the room. */
    share_used_up, /**< Copies already use as much of the pool as they may. */
};

/** Names of the choices in the log, indexed by enum value. */
constexpr std::array<std::string_view, 5> copyChoiceNames{"copies", "executor-not-slow", "ends-soon", "room-wanted", "share-used-up"};

constexpr std::string_view name(copy_choice choice)
{
    return copyChoiceNames.at(static_cast<std::size_t>(choice));
}

/** What is known about a running task of a step that permits copies. */
struct copy_inputs
{
    bool isExecutorSlow = false;
    duration remaining{}; /**< Expected time until the run ends. */
    duration expected{}; /**< Run time on a sound executor. */
    bool isRoomWanted = false; /**< Tasks without a run wait for capacity of the service. */
    std::int64_t copiesMillicores = 0; /**< Used by the copies of the service. */
    std::int64_t demandMillicores = 0; /**< Of the task. */
    std::int64_t capacityMillicores = 0; /**< Of the service. */
};

/** Decides about a copy. It pays if the run is expected to take more than twice as long as the copy from the beginning (Ananthanarayanan et al., "Reining in
    the Outliers in Map-Reduce Clusters using Mantri", OSDI 2010): then both together use less of the pool than the run alone would. */
copy_choice chooseCopy(const copy_inputs &inputs);

} // namespace parsleyglade
