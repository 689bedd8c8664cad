#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <charconv>

namespace parsleyglade {

std::optional<socket_address> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }

    socket_address parsed{std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    in_addr parsedNumber{};
    const bool valid = error == std::errc() && end == port.data() + port.size() && parsed.port != 0;
    if (!valid || ::inet_pton(AF_INET, parsed.address.c_str(), &parsedNumber) != 1) {
        return std::nullopt;
    }

    return parsed;
}

} // namespace parsleyglade
