#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyglade {

/** IPv4 address in dotted-decimal form and TCP port. */
struct socket_address
{
    std::string address;
    std::uint16_t port = 0;
};

/** Parses "IP:PORT"; nothing when the text is malformed or the port is 0. */
std::optional<socket_address> parseSocketAddress(std::string_view text);

} // namespace parsleyglade
