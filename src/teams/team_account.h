#pragma once

#include "teams/rate_allowance.h"
#include "teams/team_policy.h"

#include <cstdint>

namespace parsleyglade {

/** Events of the jobs of one team since the leader took over. */
struct team_counters
{
    std::uint64_t acceptedJobs = 0;
    std::uint64_t acceptedBeyondRate = 0; /**< Of the accepted jobs, those that were submitted beyond the team's rate. */
    std::uint64_t refusedBeyondRate = 0;
    std::uint64_t refusedForWait = 0; /**< Within the rate, but they would have waited until they were useless, or the leader was overloaded. */
    std::uint64_t refusedForCap = 0; /**< One of their tasks, or a gang, needs more than the team's cap. */
    std::uint64_t heldByCap = 0; /**< Times that the team reached its cap while a task could have started. */
};

/** What a team uses and may use. */
struct team_account
{
    team_policy policy;
    resources used; /**< By its tasks on all executors, from the decision to start them until they are gone. */
    rate_allowance allowance;
    team_counters counters;
    time_point heldLoggedAt{}; /**< When the log last said that the team has reached its cap. */

    /** Whether the team may use that much more of each resource within its cap. */
    bool hasRoomFor(const resources &demand) const;

    /** Processor capacity that the team may use beside what it uses. The largest value if there is no limit. */
    std::int64_t freeMillicores() const;
};

} // namespace parsleyglade
