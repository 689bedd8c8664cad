#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace parsleyglade {

/** Address and limits of one HTTP listener. */
struct http_server_settings
{
    std::string address = "127.0.0.1"; /**< IP number. */
    std::uint16_t port = 0;
    std::size_t maximumHeaderBytes = std::size_t{16} * 1024; /**< Of all headers of a request together. */
    std::size_t maximumBodyBytes = std::size_t{1024} * 1024;
    std::size_t maximumConnections = 12'000;
    duration requestTimeout = std::chrono::seconds{10}; /**< From the first byte of a request to its last. */
    duration idleTimeout = std::chrono::seconds{60}; /**< Of a kept-alive connection between requests. */
    duration drainIdleTimeout = std::chrono::seconds{1}; /**< A server that stops closes a connection when it has been idle for this long. */
};

} // namespace parsleyglade
