#pragma once

#include "core/time_types.h"

#include <array>
#include <optional>
#include <string_view>

namespace parsleyglade {

/** What a task that could start away from its data or its group does. */
enum class near_choice {
    waits, /**< A place near is expected soon enough. */
    not_expected, /**< No place near is expected to become free: the rack is lost, draining, or too small. */
    costs_more, /**< Running elsewhere costs less time than waiting. */
    would_be_late, /**< The job is on time if the task starts elsewhere now, and late if it waits. */
};

/** Names of the choices in the log, indexed by enum value. */
constexpr std::array<std::string_view, 4> nearChoiceNames{"waits", "not-expected", "costs-more", "would-be-late"};

constexpr std::string_view name(near_choice choice)
{
    return nearChoiceNames.at(static_cast<std::size_t>(choice));
}

/** What is known about a task that finds room, but not near. */
struct near_wait_inputs
{
    std::optional<duration> expectedWait; /**< Until a place near is free; nothing if none is expected. */
    duration waited{}; /**< Since the task has first found room elsewhere only. */
    duration runTime{}; /**< Expected run time near. */
    double remoteFactor = 1.0; /**< How many times as long the task takes elsewhere. */
    duration slack{}; /**< Time that the job can lose and still be on time; zero or less if it is late anyway. */
    bool isRoomWanted = false; /**< Others wait for the place elsewhere, which the task would take for longer than a near one. */
};

/** Longest time for which a task waits for a near place. A job that shows nothing running for longer looks lost to its caller. */
constexpr duration maximumNearWait = std::chrono::milliseconds{2000};

/** Returns how much longer the task takes elsewhere than near. */
duration remoteLoss(const near_wait_inputs &inputs);

/**
 * Decides whether a task waits for a place near its data or its group, or starts elsewhere now. Asked again in each round, as the forecast changes.
 *
 * The whole wait is bounded by what it saves. While nobody else wants the room, that is half of the loss of running elsewhere, because forecasts err and the
 * job would often be on time elsewhere as well. Where others want the room, it is twice the loss: the task would also take it from them for that much longer.
 * So a task whose forecast proves wrong again and again ends at most that much later than if it had not waited.
 */
near_choice chooseNear(const near_wait_inputs &inputs);

} // namespace parsleyglade
