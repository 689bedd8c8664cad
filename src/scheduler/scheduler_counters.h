#pragma once

#include "core/time_types.h"
#include "scheduler/run_end.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace parsleyglade {

/** Runs of the tasks of one service since the leader took over. */
struct service_counters
{
    std::uint64_t acceptedJobs = 0;
    std::uint64_t refusedJobs = 0;
    std::uint64_t starts = 0; /**< Start orders, repeated ones included. */
    std::uint64_t undeliveredStarts = 0; /**< Start orders that were not sent, for instance because the executor refused the connection. */
    std::array<std::uint64_t, runEndNames.size()> ends{}; /**< Indexed by run_end. */
    std::uint64_t lostRuns = 0; /**< Given up because their executor was lost. */
    std::uint64_t nearStarts = 0; /**< Of tasks that run faster on one rack, near their data or their group: those placed there. */
    std::uint64_t remoteStarts = 0; /**< Of the same tasks, those placed elsewhere. */
    std::uint64_t nearWaits = 0; /**< Tasks that waited for a near place although there was room elsewhere. */
    duration nearWaitTime{}; /**< Their waits, summed. */
    std::uint64_t copies = 0; /**< Second copies of tasks on slow executors. */
    std::uint64_t startedJobs = 0; /**< Jobs that have got their first start order. */
    duration startDelay{}; /**< From acceptance to the first start order, summed over startedJobs. */
};

/** Work of the scheduler since it began to lead. Shows which work grows with the size of the fleet instead of with what changes. */
struct scheduler_counters
{
    std::uint64_t rounds = 0; /**< Calls of decide(). */
    std::uint64_t executorVisits = 0; /**< Executors that a round looked at, for any reason but the choice of one for a task. */
    std::uint64_t candidateVisits = 0; /**< Executors that were compared in the choice of one for a task. */
    std::uint64_t jobVisits = 0; /**< Jobs that a round ranked. */
    std::uint64_t pollOrders = 0;
    std::uint64_t lateStartStops = 0; /**< Stop orders of runs that are over, because an order to start them may be carried out late. */
    std::uint64_t batches = 0;
    std::uint64_t batchBytes = 0; /**< Keys and values of all batches. */
    std::map<std::string, service_counters> services; /**< By service. */
};

/** State of one service at a moment. */
struct service_status
{
    std::int64_t executors = 0; /**< That accept work. */
    std::int64_t freeMillicores = 0; /**< Of these executors. */
    std::int64_t waitingTasks = 0; /**< That could start if there was capacity. */
    std::int64_t waitingMillicores = 0; /**< Reserved by these tasks once they start. */
};

} // namespace parsleyglade
