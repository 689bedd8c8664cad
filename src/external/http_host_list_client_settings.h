#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyglade {

struct http_host_list_client_settings
{
    std::vector<std::string> addresses; /**< IP:PORT, in order of preference; not empty. */
    duration timeout = std::chrono::seconds{2}; /**< At each address. */
    std::size_t maximumFetches = 4; /**< Outstanding at once; a fetch over this limit fails. */
    std::size_t maximumResponseBytes = std::size_t{4} * 1024 * 1024; /**< Room for 890 workers and the entry hosts at some 300 bytes each. */
};

} // namespace parsleyglade
