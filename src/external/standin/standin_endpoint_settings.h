#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace parsleyglade {

/** Name, capacity and run time of a standin_endpoint. */
struct standin_endpoint_settings
{
    std::string host = "endpoint";
    std::size_t slots = 8; /**< Jobs that run at once; further jobs are queued in order of arrival. */
    std::size_t maximumConnections = 64; /**< Jobs received on further connections are refused. */
    duration runTime = std::chrono::milliseconds{20}; /**< Run time of a job without the header Job-Run-Milliseconds. */
    std::uint64_t seed = 1; /**< Seed of the random choice of faults. */
};

} // namespace parsleyglade
