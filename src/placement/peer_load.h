#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** Jobs that another entry host has in flight to an endpoint, according to its last report. */
struct peer_load
{
    incarnation_id peer{}; /**< Incarnation of the reporting entry host. */
    std::uint32_t inFlight = 0; /**< All jobs, including long ones. */
    std::uint32_t longInFlight = 0; /**< Long jobs. */
    time_point receivedAt{}; /**< Time at which this entry host received the report. */
};

} // namespace parsleyglade
