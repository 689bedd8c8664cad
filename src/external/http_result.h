#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleyglade {

/** How far a request got. */
enum class http_delivery {
    completed, /**< The whole answer arrived. */
    not_sent, /**< No byte of the request was written: no connection could be opened. */
    failed, /**< The request may have arrived; there is no whole answer. */
};

struct http_result
{
    http_delivery delivery = http_delivery::failed;
    int status = 0; /**< Zero unless answered. */
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string reason; /**< Empty when answered. */

    /** Value of the first header with this name, or empty. Names are compared without regard to case. */
    std::string_view header(std::string_view headerName) const;
};

} // namespace parsleyglade
