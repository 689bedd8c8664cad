#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace parsleyglade {

struct standin_endpoint_settings
{
    std::string host = "endpoint";
    std::size_t slots = 8; /**< Jobs that run at once; more wait in order of arrival. */
    std::size_t maximumConnections = 64; /**< Requests on further connections are refused. */
    duration runTime = std::chrono::milliseconds{20}; /**< Of a job without the header Job-Run-Milliseconds. */
    std::uint64_t seed = 1; /**< Of the choices that the shares of the faults ask for. */
};

} // namespace parsleyglade
