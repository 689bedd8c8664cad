#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyglade {

/** Addresses and limits of an http_host_list_client. */
struct http_host_list_client_settings
{
    std::vector<std::string> addresses; /**< IP:PORT, in order of preference; not empty. */
    duration timeout = std::chrono::seconds{2}; /**< Timeout of the request to each address. */
    std::size_t maximumFetches = 4; /**< In flight at once; a fetch over this limit fails. */
    std::size_t maximumResponseBytes = std::size_t{4} * 1024 * 1024; /**< Enough for 890 workers and the entry hosts at about 300 bytes each. */
};

} // namespace parsleyglade
