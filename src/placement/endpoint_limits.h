#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** Capacity of an endpoint, and the ages at which information about it expires. */
struct endpoint_limits
{
    std::uint32_t slots = 8; /**< Jobs that the endpoint runs at the same time, from all entry hosts together. */
    std::uint32_t connections = 64; /**< Maximum number of jobs that this entry host may have in flight to the endpoint. */
    double longJobSlotShare = 0.5; /**< Fraction of the slots that long jobs may occupy, 0 to 1. */
    duration probeLifetime = std::chrono::seconds{2}; /**< Age of the last successful probe above which the endpoint receives no work. */
    duration peerLoadLifetime = std::chrono::seconds{5}; /**< Age at which the reported load of another entry host is ignored. */
};

} // namespace parsleyglade
