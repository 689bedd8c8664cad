#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Limits of the scheduler's decisions. */
struct scheduler_settings
{
    duration lease = std::chrono::milliseconds{3000}; /**< Of what runs on an executor; covers a change of leader. */
    duration pollWait = std::chrono::milliseconds{800}; /**< How long an executor may hold a look; under a third of the lease. */
    duration pollRetryDelay = std::chrono::milliseconds{300}; /**< Pause after a look that failed. */
    duration checkInterval = std::chrono::milliseconds{25}; /**< Between two checks of an executor's leases, stalled runs and orders. */
    duration orderRetryDelay = std::chrono::milliseconds{300}; /**< Pause before an unanswered order is repeated. */
    duration lateOrderLimit = std::chrono::milliseconds{12'500}; /**< An unanswered order may be carried out this late, by a later boot too. */
    duration maximumStopTime = std::chrono::milliseconds{600}; /**< Longer than an executor takes to end a run that is stopped. */
    duration placementBackoff = std::chrono::milliseconds{150}; /**< Pause of an executor that rejected a start. */
    duration restartBackoff = std::chrono::milliseconds{50}; /**< Pause of a task whose run failed. */
    duration leadershipLease = std::chrono::seconds{4}; /**< A leader gives no order this long after the journal last confirmed it. */
    duration leaseExpiryMargin = std::chrono::milliseconds{150}; /**< Added to the computed end of a lease. */
    double minimumClockRate = 0.98; /**< Lowest rate of an executor's clock against ours. */
    duration retention = std::chrono::seconds{180}; /**< How long the state of a finished job is kept. */
    std::size_t maximumJobs = 20'000; /**< Unfinished jobs; further submissions are refused. */
    std::size_t maximumBatchBytes = std::size_t{512} * 1024; /**< A batch takes no further job beyond this size. */
    duration refusalDelay = std::chrono::seconds{2}; /**< When a refused caller may come back. */
    duration arrivalWindow = std::chrono::milliseconds{2000}; /**< Over which the rise of arriving work is seen; its newer half gives the rate. */
    duration demandHorizon = std::chrono::milliseconds{1800}; /**< How far ahead demand is foreseen: what a move takes. */
    duration paceInterval = std::chrono::milliseconds{500}; /**< Least time between two changes of a task's pace. */
    duration stallTimeout = std::chrono::milliseconds{2500}; /**< A task without progress for this long is started elsewhere. */
    duration ejectionTime = std::chrono::seconds{4}; /**< How long an executor gets no work after repeated failures. */
    int ejectionFailures = 3; /**< Failed runs of different jobs in a row that eject an executor. */
};

} // namespace parsleyglade
