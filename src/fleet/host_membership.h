#pragma once

#include "fleet/membership_reason.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** Progress of a host's move from one pool to another. */
enum class move_stage : std::uint8_t {
    serving, /**< No move is in progress. */
    leaving, /**< A move has started; not every entry host has acknowledged it. */
    drained, /**< Every entry host has acknowledged the move; the host may join its new pool. */
    joining, /**< The host's move was completed or cancelled, but no probe has succeeded since. */
};

/** A host's pool, its move if one is in progress, and whether it may receive work, as one entry host sees it. @see membership */
struct host_membership
{
    std::string host;
    std::string pool; /**< The pool that the host serves, leaves or joins. */
    std::string toPool; /**< Destination of the move in progress; empty if there is none. */
    move_stage stage = move_stage::serving;
    std::vector<membership_reason> reasons; /**< Every reason why the host may not receive work; empty if it may. */
    std::vector<std::string> missingAcknowledgements; /**< Names of the entry hosts that have not acknowledged the move yet. */

    /** Whether the host may receive work. */
    bool isUsable() const
    {
        return reasons.empty();
    }

    /** What happens next, or what an operator has to do, for the first reason; empty for a usable host. */
    std::string_view nextStep() const
    {
        return reasons.empty() ? std::string_view{} : parsleyglade::nextStep(reasons.front());
    }
};

} // namespace parsleyglade
