#pragma once

#include "teams/team_account.h"

#include <cstdint>

namespace parsleyglade {

/** State of one team at a moment, and its events since the leader took over. */
struct team_status
{
    team_policy policy;
    resources used; /**< By its tasks on all executors. */
    double weightedShare = 0.0; /**< Largest share that it uses of any resource, divided by its weight. */
    std::int64_t waitingJobs = 0; /**< Jobs with a task that could start if there was capacity. */
    std::int64_t waitingTasks = 0;
    std::int64_t waitingMillicores = 0;
    team_counters counters;
};

} // namespace parsleyglade
