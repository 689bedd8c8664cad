#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** Settings of wave_planner and wave_runner. */
struct wave_settings
{
    std::int64_t maximumConcurrentHosts = 8; /**< Maximum hosts of one wave that are out of service at the same time; also the maximum size of a batch. */
    duration longJobDrainTimeout = std::chrono::minutes(10); /**< Time after which jobs that still run on a draining host are checkpointed. */
    /** Minimum time between a drain and maintenance, because entry hosts that are partitioned from the log may still send work for this long. */
    duration drainSettleTime = std::chrono::seconds(3);
    duration returnTimeout = std::chrono::minutes(60); /**< A host that has been drained for longer no longer counts towards maximumConcurrentHosts. */
    double pauseBurnRate = 2.0; /**< A wave pauses above this error-budget burn rate; at 1 the objective is just met. */
    double resumeBurnRate = 1.0; /**< A paused wave may resume at or below this burn rate. */
    double pauseFailureShare = 0.02; /**< A wave pauses if more than this fraction of the hosts is down or suspect without being drained. */
    std::int64_t pauseFailureMinimum = 2; /**< A wave does not pause for this number of failed hosts or fewer. */
    duration resumeDelay = std::chrono::minutes(10); /**< Minimum length of a pause made by wave_runner. */
    double failedRackShare = 0.75; /**< A rack counts as failed if at least this fraction of its hosts is down. */
};

} // namespace parsleyglade
