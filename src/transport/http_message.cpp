#include "transport/http_message.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace parsleyglade {

namespace {

bool equalNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && ::strncasecmp(left.data(), right.data(), right.size()) == 0;
}

} // namespace

std::optional<std::string_view> findHeader(const std::vector<http_header> &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const http_header &header) { return equalNames(header.first, name); });
    if (found == headers.end()) {
        return std::nullopt;
    }

    return found->second;
}

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names{"Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
                                                    "Transfer-Encoding", "Upgrade",    "Content-Length"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view candidate) { return equalNames(candidate, name); });
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace parsleyglade
