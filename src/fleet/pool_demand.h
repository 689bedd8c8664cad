#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** Number of hosts that a spare capacity policy demands for a pool. @see move_planner */
struct pool_demand
{
    std::string pool;
    std::int64_t hosts = 0; /**< Hosts that the pool needs. Hosts above this number may be lent to pools that lack hosts. */
    std::int64_t retainedHosts = 0; /**< Lent hosts above this number return home, even if no pool needs them. At least hosts. */
    std::optional<duration> expectedDuration; /**< How long the demand is expected to last; nullopt if the policy has no estimate. */
    std::vector<std::string> dataCentres; /**< Data centres in which hosts are needed, most urgent first. */
};

} // namespace parsleyglade
