#pragma once

#include "fleet/endpoint_observation.h"

#include <cstdint>
#include <map>
#include <string>

namespace parsleyglade {

enum class host_health : std::uint8_t {
    healthy,
    suspect, /**< Probes have failed for longer than maximumProbeAge. */
    down, /**< Probes have failed for longer than the limit, or the host list calls the host leaving. */
};

/** Health by host. A host that is absent counts as down: nobody has seen it answer. */
using fleet_health = std::map<std::string, host_health>;

/** How long a host may stay without a good probe before it counts as down instead of suspect. */
constexpr duration suspectLimit = std::chrono::seconds(10);

/** Health from what was seen of an endpoint. */
host_health healthOf(const endpoint_observation &observation, time_point now);

} // namespace parsleyglade
