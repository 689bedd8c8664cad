#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleyglade {

using http_header = std::pair<std::string, std::string>;

/** Value of the first header with this name, compared case-insensitively; nothing when there is none. Valid as long as the headers. */
std::optional<std::string_view> findHeader(const std::vector<http_header> &headers, std::string_view name);

/** A complete HTTP request. */
struct http_request
{
    std::string method;
    std::string path; /**< Without the query. */
    std::string query; /**< Undecoded text after the question mark; empty if none. */
    std::vector<http_header> headers;
    std::string body;
};

/** A complete HTTP response. Content-Length is added when it is sent. */
struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

/** Whether a header applies to one connection only and must not be forwarded (RFC 9110, section 7.6.1), or describes the framing of the body. */
bool isHopByHop(std::string_view name);

/** Reason phrase of a status; "Status" for one that is not listed. */
std::string_view reasonPhrase(int status);

} // namespace parsleyglade
