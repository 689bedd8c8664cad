#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace parsleyglade {

enum class maintenance_state : std::uint8_t {
    not_started,
    in_progress,
    done,
};

/** What the platform and the probes say of a host that a wave has drained. */
struct host_progress
{
    std::uint32_t running = 0; /**< Jobs that still run there. */
    bool checkpointRequested = false;
    maintenance_state maintenance = maintenance_state::not_started;
};

/** Progress by host. */
using wave_progress = std::map<std::string, host_progress>;

} // namespace parsleyglade
