#pragma once

#include "core/time_types.h"

#include <string>
#include <utility>
#include <vector>

namespace parsleyglade {

/** One HTTP request to a server given by IP number and port. @see http_requester */
struct outgoing_request
{
    std::string address; /**< IP number and port, such as 127.0.0.1:9000. */
    std::string method = "GET";
    std::string target = "/"; /**< Path and query, percent-encoded. */
    std::vector<std::pair<std::string, std::string>> headers; /**< Host and Content-Length are added. */
    std::string body;
    duration timeout = std::chrono::seconds{5}; /**< From the call to the last byte of the answer, unless progressTimeout lets it go on. */

    /** When not zero, an answer of which something came within the time limit goes on for as long as more comes in every such interval. */
    duration progressTimeout{};

    duration maximumDuration = std::chrono::seconds{15}; /**< From the call to the last byte of an answer that goes on. */
};

} // namespace parsleyglade
