#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstdint>

namespace parsleyglade {

/** Another entry host's last reported count of its jobs in flight at one endpoint. */
struct peer_load
{
    incarnation_id peer{};
    std::uint32_t inFlight = 0; /**< All jobs, long ones included. */
    std::uint32_t longInFlight = 0;
    time_point receivedAt{};
};

} // namespace parsleyglade
