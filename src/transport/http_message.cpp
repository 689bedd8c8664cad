#include "transport/http_message.h"

#include <algorithm>
#include <strings.h>

namespace parsleyglade {

std::optional<std::string_view> findHeader(const std::vector<http_header> &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const http_header &header) {
        return header.first.size() == name.size() && ::strncasecmp(header.first.data(), name.data(), name.size()) == 0;
    });
    if (found == headers.end()) {
        return std::nullopt;
    }

    return found->second;
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
