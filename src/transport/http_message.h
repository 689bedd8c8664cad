#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleyglade {

using http_header = std::pair<std::string, std::string>;

/** The first value of a header, compared without regard to case; nothing when it is absent. */
std::optional<std::string_view> findHeader(const std::vector<http_header> &headers, std::string_view name);

/** A whole HTTP request as received. */
struct http_request
{
    std::string method;
    std::string path; /**< Without the query. */
    std::string query; /**< Undecoded text after the question mark; empty when there is none. */
    std::vector<http_header> headers;
    std::string body;
};

/** A whole HTTP answer. Content-Length is added when it is sent. */
struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

/** Whether a header belongs to one connection and is not passed on (RFC 9110, section 7.6.1), or describes its framing. */
bool isHopByHop(std::string_view name);

/** Reason phrase of a status; "Status" for one without a usual phrase. */
std::string_view reasonPhrase(int status);

} // namespace parsleyglade
