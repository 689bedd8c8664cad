#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** How maintenance waves are planned and run. */
struct wave_settings
{
    std::int64_t maximumConcurrentHosts = 8; /**< Most hosts that one wave keeps out at a time; also the size of a batch. */
    duration longJobDrainTimeout = std::chrono::minutes(10); /**< After it, jobs that still run on a draining host are checkpointed. */
    duration drainSettleTime = std::chrono::seconds(3); /**< A drained endpoint may get new work for this long from entry hosts that are cut off. */
    duration returnTimeout = std::chrono::minutes(60); /**< A host that is out for longer no longer counts towards maximumConcurrentHosts. */
    double pauseBurnRate = 2.0; /**< Pauses above this burn rate; 1 uses up the objective's budget exactly. */
    double resumeBurnRate = 1.0; /**< Resumes at or below this burn rate. */
    double pauseFailureShare = 0.02; /**< Pauses when more than this share of the hosts is down or suspect unplanned. */
    std::int64_t pauseFailureMinimum = 2; /**< Never pauses for as many failures or fewer. */
    duration resumeDelay = std::chrono::minutes(10); /**< Least length of a pause that the planner made. */
    double failedRackShare = 0.75; /**< A rack with at least this share of its hosts down has failed. */
};

} // namespace parsleyglade
