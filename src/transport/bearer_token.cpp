#include "transport/bearer_token.h"

namespace parsleyglade {

std::optional<std::string_view> findBearerToken(const std::vector<http_header> &headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = findHeader(headers, "Authorization");
    if (!header || !header->starts_with(scheme)) {
        return std::nullopt;
    }
    return header->substr(scheme.size());
}

http_header bearerChallenge()
{
    return {"WWW-Authenticate", "Bearer"};
}

} // namespace parsleyglade
