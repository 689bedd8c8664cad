#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** How many hosts a policy wants in a pool. @see move_planner */
struct pool_demand
{
    std::string pool;
    std::int64_t hosts = 0;
    std::int64_t retainedHosts = 0; /**< Hosts above this number may be taken away; at least hosts. */
    std::optional<duration> expectedDuration; /**< How long the need is expected to last; nothing when the policy has no estimate. */
    std::vector<std::string> dataCentres; /**< Where hosts help most, best first. */
};

} // namespace parsleyglade
