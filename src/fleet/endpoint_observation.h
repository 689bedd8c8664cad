#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <optional>

namespace parsleyglade {

/** State of a host according to the platform's host list. */
enum class listed_state : std::uint8_t {
    unlisted,
    live,
    leaving,
};

/** What one entry host knows about an endpoint from its own probes, the platform's host list and its own requests. */
struct endpoint_observation
{
    std::optional<time_point> lastSuccessfulProbe; /**< Time of the last successful health check; nullopt before the first. */
    std::optional<time_point> poolChangedAt; /**< When this entry host applied the record that completed or cancelled the host's last move. */
    bool reportsLeaving = false; /**< Whether the endpoint's last response said that it is leaving. */
    listed_state listed = listed_state::unlisted;
    std::uint32_t running = 0; /**< Jobs that run on the endpoint, according to its last response. */
    std::uint32_t inFlight = 0; /**< Requests of this entry host that are in flight to the endpoint. */
};

} // namespace parsleyglade
