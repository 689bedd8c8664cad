#pragma once

#include <cstdint>

namespace parsleyglade {

/** Demand of the jobs of a service for its pool. */
struct service_demand
{
    std::int64_t inflowMillicores = 0; /**< Declared work that is expected to arrive, in millicore-seconds per second. */
    std::int64_t waitingMillicores = 0; /**< Declared processor share of tasks that are ready to run but are not placed. */
    std::int64_t longRunningMillicores = 0; /**< Declared processor share of tasks that run until their job is cancelled. */
    int minimumExecutors = 0; /**< Executors required by the step with the widest spread, where maximumPerExecutor limits the tasks on one executor. */
};

} // namespace parsleyglade
