#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleyglade {

/** Whether a request was sent and its response received. */
enum class http_delivery {
    responded, /**< The complete response was received. */
    not_sent, /**< No byte of the request was written, for a reason on this side: it is invalid, or there are too many connections. */
    unreachable, /**< No byte of the request was written, because the server refused the connection or did not accept it before the timeout. */
    failed, /**< The request may have reached the server; no complete response was received. */
};

/** Whether the server certainly has not received any part of the request. */
constexpr bool isUnsent(http_delivery delivery)
{
    return delivery == http_delivery::not_sent || delivery == http_delivery::unreachable;
}

/** Result of an outgoing HTTP request: the complete response, or the reason why there is none. @see http_requester */
struct http_result
{
    http_delivery delivery = http_delivery::failed;
    int status = 0; /**< HTTP status code; zero unless a response was received. */
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string reason; /**< Why there is no complete response; empty when there is one. */

    /** Value of the first header with this name, or empty. Names are compared case-insensitively. The view is valid as long as this object. */
    std::string_view header(std::string_view headerName) const;
};

} // namespace parsleyglade
