#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Settings of the scheduler. */
struct scheduler_settings
{
    duration lease = std::chrono::milliseconds{3000}; /**< Lease of the runs on an executor. Long enough to outlast a change of leader. */
    duration maximumLease = std::chrono::seconds{10}; /**< Executors shorten every longer lease to this. */
    duration pollWait = std::chrono::milliseconds{800}; /**< Long poll: how long an executor may delay its response. Less than a third of the lease. */
    duration listDelay = std::chrono::milliseconds{700}; /**< How much longer than pollWait a response to a poll may take. */
    duration overduePollDelay = std::chrono::milliseconds{100}; /**< A response to a poll is overdue once it takes this much longer than its wait. */
    duration pollRetryDelay = std::chrono::milliseconds{300}; /**< Delay after a failed poll. */
    duration idlePollRetryDelay = std::chrono::seconds{1}; /**< The same for an executor without runs, whose silence endangers no task. */
    duration pollSpacing = std::chrono::milliseconds{30}; /**< Minimum time from a response to the next poll, so that one poll reports several ends. */
    duration pollSpacingPerExecutor = std::chrono::microseconds{60}; /**< Added to it for each executor, so that the rate of polls of the fleet is bounded. */
    duration evictionBatchTimeout = std::chrono::milliseconds{700}; /**< With a batch unconfirmed for this long nothing is evicted: its next start could not
                                                                         be recorded, and a successor may be taking over. */
    duration checkInterval = std::chrono::milliseconds{25}; /**< Between two checks of an executor with orders to repeat or runs to evacuate. */
    duration idleCheckInterval = std::chrono::milliseconds{200}; /**< Between two checks of the lease and progress on other executors. */
    duration orderRetryDelay = std::chrono::milliseconds{300}; /**< Delay before an order without a response is repeated. */
    duration lateOrderTimeout
        = std::chrono::milliseconds{12'500}; /**< How long after it was sent an order without a response may still be carried out, also by a later boot. */
    duration lateStopInterval = std::chrono::milliseconds{20}; /**< Between two stops to an executor that may carry out the start of an ended run late. */
    int silentStopFactor = 5; /**< The time between these stops is so many times as long for an executor that does not respond. */
    duration overdueStopDelay = std::chrono::milliseconds{100}; /**< The response to the stop of a run is overdue after this time. */
    duration lateStopIntervalPerExecutor = std::chrono::milliseconds{2}; /**< It is at least this long for each such executor, to bound the rate of stops. */
    duration maximumStopTime = std::chrono::milliseconds{600}; /**< Upper bound for the time that an executor takes to stop a run. */
    duration placementBackoff = std::chrono::milliseconds{150}; /**< How long an executor that rejected a start gets no new runs. */
    duration restartBackoff = std::chrono::milliseconds{50}; /**< Delay before a task whose run failed is started again. */
    duration leadershipLease
        = std::chrono::seconds{4}; /**< A leader sends no orders once this time has passed since the journal last confirmed its leadership. */
    duration leaseExpiryMargin = std::chrono::milliseconds{150}; /**< Safety margin added to the computed expiry of a lease. */
    double minimumClockRate = 0.98; /**< Lowest rate of an executor's clock relative to the local clock. */
    duration retention = std::chrono::seconds{180}; /**< How long the state of a finished job is retained. */
    std::size_t maximumJobs = 20'000; /**< Maximum number of unfinished jobs, above which submissions are refused. */
    std::size_t maximumBatchBytes = std::size_t{512} * 1024; /**< No further job is added to a batch that has reached this size. */
    duration refusalDelay = std::chrono::seconds{2}; /**< Delay after which a caller may retry when there are too many unfinished jobs. */
    duration admissionInterval = std::chrono::milliseconds{50}; /**< Between two measurements of the work that waits for each service. */
    duration expectedDecisionInterval = std::chrono::milliseconds{50}; /**< Longest time between two rounds of decisions unless the leader is overloaded. */
    duration maximumDecisionInterval = std::chrono::seconds{1}; /**< A longer time between two rounds counts as this. */
    int decisionRoundsPerJob = 4; /**< Rounds that a job waits for: acceptance, start, end of a step, and start of the next step. */
    double admittedSlackShare = 0.6; /**< Share of a job's slack that the control path may use up: the job waits for executors as well. */
    int uselessAfterObjectives = 3; /**< A job that takes longer than this many times its objective is no longer useful to its caller. */
    duration arrivalWindow = std::chrono::milliseconds{2000}; /**< Window over which the trend of arriving work is measured; its newer half gives the rate. */
    duration demandHorizon = std::chrono::milliseconds{1800}; /**< Time ahead to which demand is extrapolated: the time that a move of a host takes. */
    double remoteRunFactor = 1.0; /**< How many times as long a task takes away from its data or its group. With 1 no task waits for a near place. */
    duration paceInterval = std::chrono::milliseconds{500}; /**< Minimum time between two changes of the pace of a task. */
    duration stallTimeout = std::chrono::milliseconds{2500}; /**< A task without progress for this time, or for a tenth of its expected run time, is stopped and
                                                                  started elsewhere. */
    duration ejectionTime = std::chrono::seconds{4}; /**< How long an executor gets no work after repeated failures or a stalled task. */
    int ejectionFailures = 3; /**< Consecutive failed runs of different jobs after which an executor is ejected. */
};

} // namespace parsleyglade
