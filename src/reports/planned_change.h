#pragma once

#include "core/time_types.h"

#include <string>
#include <string_view>
#include <tuple>

namespace parsleyglade {

/** What kind of planned change a note tells of. */
enum class planned_change_kind : std::uint8_t {
    wave,
    move,
    drain,
    revision,
};

constexpr std::size_t plannedChangeKindCount = 4;

/** The name of a kind as it appears in documents and pages. */
std::string_view name(planned_change_kind kind);

/** A planned change that may explain why a budget is spent. */
struct planned_change
{
    wall_time at{}; /**< The record's own time where it has one, so that the notes of all entry hosts agree. */
    planned_change_kind kind = planned_change_kind::wave;
    std::string subject; /**< The wave, host, drain or number of the revision, without the kind. */
    std::string text; /**< What happened to it, such as "started". */
    std::string service; /**< The only service that it concerns; empty when it may concern any. */

    friend bool operator==(const planned_change &, const planned_change &) = default;

    /** Orders by time first. */
    friend bool operator<(const planned_change &left, const planned_change &right)
    {
        return std::tie(left.at, left.kind, left.subject, left.text, left.service) < std::tie(right.at, right.kind, right.subject, right.text, right.service);
    }
};

} // namespace parsleyglade
