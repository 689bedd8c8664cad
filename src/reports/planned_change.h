#pragma once

#include "core/time_types.h"

#include <string>
#include <string_view>
#include <tuple>

namespace parsleyglade {

/** What was changed. */
enum class planned_change_kind : std::uint8_t {
    wave,
    move,
    drain,
    revision,
};

constexpr std::size_t plannedChangeKindCount = 4;

/** Returns the name of a kind as it appears in documents and pages. */
std::string_view name(planned_change_kind kind);

/** A planned change in the fleet or the configuration, which may explain why an error budget is being spent. */
struct planned_change
{
    wall_time at{}; /**< The time in the record of the change where it has one, so that all entry hosts report the same time. */
    planned_change_kind kind = planned_change_kind::wave;
    std::string subject; /**< Identifies the wave, host, drain or revision, without the kind. */
    std::string text; /**< What happened to the subject, such as "started". */
    std::string service; /**< The only service that the change can affect; empty if it can affect any service. */

    friend bool operator==(const planned_change &, const planned_change &) = default;

    /** Orders by time first. */
    friend bool operator<(const planned_change &left, const planned_change &right)
    {
        return std::tie(left.at, left.kind, left.subject, left.text, left.service) < std::tie(right.at, right.kind, right.subject, right.text, right.service);
    }
};

} // namespace parsleyglade
