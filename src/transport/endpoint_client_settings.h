#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

/** Limits on calls to endpoints. */
struct endpoint_client_settings
{
    duration connectTimeout = std::chrono::milliseconds{500};
    duration idleTimeout = std::chrono::seconds{5}; /**< A kept connection unused for longer is not used again. */
    std::size_t maximumConnectionsPerEndpoint = 64; /**< To one endpoint. */
    std::size_t maximumResponseBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maximumResponseHeaderBytes = std::size_t{16} * 1024;
};

} // namespace parsleyglade
