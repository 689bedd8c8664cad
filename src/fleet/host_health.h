#pragma once

#include "fleet/endpoint_observation.h"

#include <cstdint>
#include <map>
#include <string>

namespace parsleyglade {

/** Health of a host, derived from probes and the platform's host list. @see healthOf */
enum class host_health : std::uint8_t {
    healthy,
    suspect, /**< The last successful probe is older than maximumProbeAge. */
    down, /**< The last successful probe is older than suspectLimit or there was none, or the host list shows the host as leaving. */
};

/** Health by host name. A host without an entry counts as down, because no successful probe of it is known. */
using fleet_health = std::map<std::string, host_health>;

/** Age of the last successful probe above which a host counts as down instead of suspect. */
constexpr duration suspectLimit = std::chrono::seconds(10);

/** Derives a host's health from the observation of its endpoint. */
host_health healthOf(const endpoint_observation &observation, time_point now);

} // namespace parsleyglade
