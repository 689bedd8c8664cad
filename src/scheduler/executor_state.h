#pragma once

#include "core/time_types.h"
#include "scheduler/executor_description.h"
#include "scheduler/resources.h"
#include "scheduler/task_id.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace parsleyglade {

/** A run as its executor's book lists it. */
struct run_key
{
    task_id task;
    int run = 0;

    friend auto operator<=>(const run_key &, const run_key &) = default;
};

/** A start order without an answer, which a later boot of the executor may still carry out. */
struct unanswered_start
{
    run_key run;
    time_point until{};
    bool isBlocked = true; /**< This boot refuses it: it is the one that it was sent to, or has confirmed a stop of the run. */
    time_point sentAt{}; /**< When a stop was last sent. */
};

/** One executor as the leading scheduler knows it. */
struct executor_state
{
    executor_description description;
    time_point bootKnownAt{}; /**< When this boot was first seen. */
    bool isListed = false; /**< The registry has an entry. */
    bool isEvacuating = false; /**< Gets no new work; its host is to be maintained or moved. */
    bool isSynchronised = false; /**< Has answered a look of this leader, so orders of earlier leaders are fenced off. */
    time_point clockReadAt{}; /**< When clockMilliseconds was known to be reached. */
    std::int64_t clockMilliseconds = 0;
    time_point leaseExpiry{}; /**< From here on every lease that was granted is certainly over. */
    std::int64_t endSeen = 0; /**< Highest number of an end that was applied. */
    std::int64_t endRecorded = 0; /**< Highest number of an end that the journal has. */
    std::int64_t endAcknowledged = 0; /**< Highest number of an end that the executor was told it may forget. */
    std::int64_t pollAcknowledges = 0; /**< What the look under way tells it. */
    resources used; /**< By all runs that are alive or may be. */
    std::vector<run_key> runs;
    std::vector<unanswered_start> unansweredStarts;
    bool isPolling = false; /**< A look waits for its answer. */
    time_point pollAnsweredAt{};
    time_point nextPoll{};
    time_point nextCheck{}; /**< Of its leases, stalled runs and orders to repeat. */
    int failedPolls = 0; /**< In a row. */
    time_point avoidUntil{}; /**< No start before. */
    int consecutiveFailures = 0; /**< Failed runs of different jobs since the last good end. */
    std::string lastFailedJob;

    resources availableCapacity() const
    {
        return description.capacity - used;
    }

    bool isSchedulable(time_point now) const
    {
        return isListed && isSynchronised && !isEvacuating && !description.draining && failedPolls == 0 && now >= avoidUntil;
    }
};

} // namespace parsleyglade
