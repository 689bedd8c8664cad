#pragma once

#include "core/time_types.h"

#include <string>
#include <utility>
#include <vector>

namespace parsleyglade {

/** An HTTP request to the server at an IP address and port. @see http_requester */
struct outgoing_request
{
    std::string address; /**< IP:PORT, such as 127.0.0.1:9000. */
    std::string method = "GET";
    std::string target = "/"; /**< Path and query, percent-encoded. */
    std::vector<std::pair<std::string, std::string>> headers; /**< Host and Content-Length are added by the requester. */
    std::string body;
    duration timeout = std::chrono::seconds{5}; /**< From the call to the last byte of the response, unless progressTimeout extends it. */

    /** When not zero, a response of which at least one byte was received within the timeout may continue as long as more bytes are received in
        each interval of this length. */
    duration progressTimeout{};

    duration maximumDuration = std::chrono::seconds{15}; /**< Limit of the extension, from the call; checked once per progressTimeout. */
};

} // namespace parsleyglade
