#pragma once

#include "fleet/membership_reason.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** Where a host is between two pools. */
enum class move_stage : std::uint8_t {
    serving,
    leaving,
    drained,
    joining, /**< Joined by record, but without a good probe since. */
};

/** Whether a host may take work now, and why not. */
struct host_membership
{
    std::string host;
    std::string pool; /**< The pool that it serves, leaves or joins. */
    std::string toPool; /**< Target of a move in progress; empty when there is none. */
    move_stage stage = move_stage::serving;
    std::vector<membership_reason> reasons; /**< Every reason against it; empty when it may take work. */
    std::vector<std::string> missingAcknowledgements; /**< Entry hosts whose acknowledgement its move lacks. */

    bool isUsable() const
    {
        return reasons.empty();
    }

    /** What happens next, or what an operator does; empty for a usable host. */
    std::string_view nextStep() const
    {
        return reasons.empty() ? std::string_view{} : parsleyglade::nextStep(reasons.front());
    }
};

} // namespace parsleyglade
