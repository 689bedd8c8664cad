#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyglade {

struct http_log_client_settings
{
    std::vector<std::string> addresses; /**< IP:PORT of the log's replicas, in order of preference; not empty. */
    duration appendTimeout = std::chrono::seconds{2};
    duration readTimeout = std::chrono::seconds{2}; /**< At each address, in addition to the time that the caller lets the log wait. */
    std::size_t maximumAppends = 16; /**< Outstanding at once; an append over this limit is refused. */
    std::size_t maximumReads = 32; /**< Outstanding at once; a read over this limit is unavailable. */
    std::size_t maximumResponseBytes = std::size_t{8} * 1024 * 1024;
};

} // namespace parsleyglade
