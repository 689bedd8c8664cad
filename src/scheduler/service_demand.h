#pragma once

#include <cstdint>

namespace parsleyglade {

/** What a service's jobs ask of its pool. */
struct service_demand
{
    std::int64_t inflowMillicores = 0; /**< Declared work that is expected to arrive, in millicore-seconds for each second. */
    std::int64_t waitingMillicores = 0; /**< Reserved by tasks that could run now and have no place. */
    std::int64_t longRunningMillicores = 0; /**< Reserved by tasks that run until their job is cancelled. */
    int minimumExecutors = 0; /**< That the widest step needs whose tasks must be apart. */
};

} // namespace parsleyglade
