#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace parsleyglade {

/** Address, timeouts and limits of one http_server. */
struct http_server_settings
{
    std::string address = "127.0.0.1"; /**< IP address without the port. */
    std::uint16_t port = 0; /**< 0 for any free port. */
    std::size_t maximumHeaderBytes = std::size_t{16} * 1024; /**< Sum over all headers of a request. */
    std::size_t maximumBodyBytes = std::size_t{1024} * 1024;
    std::size_t maximumConnections = 12'000;
    duration requestTimeout = std::chrono::seconds{10}; /**< From the first byte of a request until it is complete. */
    duration idleTimeout = std::chrono::seconds{60}; /**< Of a persistent connection between requests. */
    duration drainIdleTimeout = std::chrono::seconds{1}; /**< After stopAccepting(), an idle connection is closed after this time. */
};

} // namespace parsleyglade
