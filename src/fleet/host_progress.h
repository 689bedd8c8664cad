#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace parsleyglade {

/** State of a host's maintenance according to the platform. */
enum class maintenance_state : std::uint8_t {
    not_started,
    in_progress,
    done,
};

/** What the platform and the probes report about a host that a wave has drained. */
struct host_progress
{
    std::uint32_t running = 0; /**< Jobs that still run on the host. */
    bool checkpointRequested = false; /**< Whether a checkpoint of these jobs has already been requested from the platform. */
    maintenance_state maintenance = maintenance_state::not_started;
};

/** Progress by host name. */
using wave_progress = std::map<std::string, host_progress>;

} // namespace parsleyglade
