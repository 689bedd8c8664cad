#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

struct http_requester_settings
{
    std::size_t maximumConnections = 64; /**< A request over this limit is not sent. */
    std::size_t maximumHeaderBytes = std::size_t{16} * 1024;
    std::size_t maximumBodyBytes = std::size_t{4} * 1024 * 1024;
    duration idleTimeout = std::chrono::seconds{10}; /**< Idle connections are closed after one to two times this. */
};

} // namespace parsleyglade
