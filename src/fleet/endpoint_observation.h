#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <optional>

namespace parsleyglade {

/** What the platform's host list says of a host. */
enum class listed_state : std::uint8_t {
    unlisted,
    live,
    leaving,
};

/** What an entry host has seen of an endpoint. */
struct endpoint_observation
{
    std::optional<time_point> lastGoodProbe; /**< Last health check answered in full. */
    std::optional<time_point> poolChangedAt; /**< When this entry host folded the host's last finished or cancelled move. */
    bool reportsLeaving = false; /**< The endpoint's own state in its last answer. */
    listed_state listed = listed_state::unlisted;
    std::uint32_t running = 0; /**< Jobs that the endpoint said it runs. */
    std::uint32_t inFlight = 0; /**< This entry host's own requests there. */
};

} // namespace parsleyglade
