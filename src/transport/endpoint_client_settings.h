#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

/** Timeouts and limits of an endpoint_client. */
struct endpoint_client_settings
{
    duration connectTimeout = std::chrono::milliseconds{500}; /**< From the start of a call until its first byte has been written. */
    duration idleTimeout = std::chrono::seconds{5}; /**< An idle connection is not reused after this time. */
    std::size_t maximumConnectionsPerEndpoint = 64;
    std::size_t maximumResponseBytes = std::size_t{8} * 1024 * 1024; /**< Of a response body. */
    std::size_t maximumResponseHeaderBytes = std::size_t{16} * 1024;
};

} // namespace parsleyglade
