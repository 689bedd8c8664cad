#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyglade {

/** An IPv4 number and a TCP port. */
struct socket_address
{
    std::string address;
    std::uint16_t port = 0;
};

/** Reads "IP:PORT"; nothing when it has another form or the port is 0. */
std::optional<socket_address> parseSocketAddress(std::string_view text);

} // namespace parsleyglade
