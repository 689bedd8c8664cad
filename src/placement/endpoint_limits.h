#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** What one endpoint can take. */
struct endpoint_limits
{
    std::uint32_t slots = 8; /**< Jobs that run at the same time, from all entry hosts together. */
    std::uint32_t connections = 64; /**< Jobs that this entry host may have in flight. */
    double longJobSlotShare = 0.5; /**< Share of the slots that long jobs may hold, 0 to 1. */
    duration probeLifetime = std::chrono::seconds{2}; /**< Age of the last good probe above which the endpoint takes no work. */
    duration peerLoadLifetime = std::chrono::seconds{5}; /**< Age at which another entry host's count no longer counts. */
};

} // namespace parsleyglade
