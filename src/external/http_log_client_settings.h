#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyglade {

/** Addresses and limits of an http_log_client. */
struct http_log_client_settings
{
    std::vector<std::string> addresses; /**< IP:PORT of the log's replicas, in order of preference; not empty. */
    duration appendTimeout = std::chrono::seconds{2};
    duration readTimeout = std::chrono::seconds{2}; /**< At each address, in addition to the wait that the caller requested. */
    std::size_t maximumAppends = 16; /**< In flight at once; an append over this limit is refused. */
    std::size_t maximumReads = 32; /**< In flight at once; a read over this limit is unavailable. */
    std::size_t maximumResponseBytes = std::size_t{8} * 1024 * 1024;
};

} // namespace parsleyglade
