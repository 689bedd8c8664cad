#pragma once

#include "core/time_types.h"
#include "scheduler/attached_run.h"
#include "scheduler/executor_description.h"
#include "scheduler/late_starts.h"
#include "scheduler/run_key.h"
#include "wire/resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace parsleyglade {

/** The leader's view of one executor: registry entry, clock, lease, runs and state of the poll loop. */
struct executor_state
{
    executor_description description;
    time_point bootKnownAt{}; /**< When the leader first learned of this boot, or of a later one that no entry or list has named yet. */
    bool hasUnnamedBoot = false; /**< The clock in a response has shown a later boot than that of the description. */
    bool isListed = false; /**< The registry has an entry for the executor. */
    bool isEvacuating = false; /**< Gets no new work, because its host is to be maintained or moved to another pool. */
    bool isHostUp = true; /**< False once the host list has shown its host with another executor, or not up. */
    bool isSynchronised = false; /**< Has responded to a poll of this leader and therefore rejects orders of earlier leaders. */
    time_point synchronisedAt{}; /**< When that response was received. */
    time_point clockReadAt{}; /**< Local time at which the executor clock was known to have reached clockMilliseconds. */
    std::int64_t clockMilliseconds = 0; /**< Last known reading of the executor's steady clock; 0 if unknown. */
    time_point leaseExpiry{}; /**< Local time after which every granted lease has expired, whatever the drift of the clock within the permitted range. */
    time_point lastGrantAt{}; /**< When an order with a lease on the clock of the known boot was last sent. */
    time_point bootSeenAt{}; /**< When the last poll was sent that the known boot has answered with the list of its runs. */
    time_point lateGrantUntil{}; /**< An unanswered order with a lease may still be carried out until this time. */
    std::int64_t endApplied = 0; /**< Number of the last end that was applied to the state. */
    std::int64_t endRecorded = 0; /**< Number of the last end that is recorded in the journal. */
    std::int64_t endAcknowledged = 0; /**< Number of the last end that was acknowledged to the executor. */
    std::int64_t pollAcknowledges = 0; /**< The number of an end of the known boot that the poll in flight acknowledges. */
    bool isPollAcknowledging = false; /**< The poll in flight acknowledges ends, perhaps of an earlier boot. */
    time_point pollDueAt{}; /**< The response to the poll in flight is overdue after this time. */
    time_point lateAcknowledgementUntil{}; /**< An unanswered poll that acknowledges ends may still be carried out until this time. */
    time_point unattributedStartAt{}; /**< When the outcome of a start order was last known that a later boot than the known one may have carried out. */
    std::vector<run_key> heldStarts; /**< Recorded runs whose start order waits for an overdue response to a poll that acknowledges ends. */
    resources used; /**< Reserved by all runs that are or may be alive. */
    std::vector<attached_run> runs;
    late_starts lateStarts; /**< Start orders whose outcome is not known. */
    bool isCountedAsLate = false; /**< Is among the executors with start orders that may be carried out late. */
    bool isPolling = false; /**< A poll is in flight. */
    bool isPollGrantingLease = false; /**< The poll in flight, or the last one, extends the lease. */
    time_point lastPollResponseAt{};
    time_point lastContactAt{}; /**< When the executor last responded to a poll or a start order. */
    time_point nextPoll{};
    time_point nextCheck{}; /**< Next check of leases, stalled runs and orders to repeat. */
    int failedContacts = 0; /**< Polls without a response and start orders that could not be delivered since its last response to a poll. */
    time_point avoidUntil{}; /**< No new runs are placed here before this time. */
    int consecutiveFailures = 0; /**< Failed runs of different jobs since the last successful run. */
    std::string lastFailedJob;
    bool isTouched = false; /**< Has changed since the scheduler last looked at what it is due for and whether it accepts work. */
    std::optional<time_point> wakeAt; /**< Its time in the wake queue. */

    /** Capacity that is not reserved. */
    resources availableCapacity() const
    {
        return description.capacity - used;
    }

    /** Whether the executor can have no ends but those that this leader has seen, so that it may forget ends by their number. Ends of a boot that is not
        known yet would be numbered from the start again; it has some only if it has received a start order. */
    bool mayAcknowledgeEnds() const
    {
        return !hasUnnamedBoot && !lateStarts.awaitsResponse() && bootSeenAt > unattributedStartAt;
    }

    /** Whether a poll that acknowledges ends may still be on its way to the executor. A start order could then overtake it. */
    bool isAcknowledgementOverdue(time_point now) const
    {
        return isPollAcknowledging && now > pollDueAt;
    }

    /** Whether a run that was placed on the executor may still be started there. */
    bool acceptsStarts() const
    {
        return isListed && isHostUp && !description.draining && failedContacts == 0;
    }

    /** Whether new runs may be placed on the executor. */
    bool isSchedulable(time_point now) const
    {
        return acceptsStarts() && isSynchronised && !isEvacuating && now >= avoidUntil;
    }
};

} // namespace parsleyglade
