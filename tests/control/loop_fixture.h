#pragma once

#include "runtime/event_loop.h"

#include <arpa/inet.h>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleyglade {

/** A loopback port that is currently free. */
inline std::uint16_t freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

/** Runs the loop until the condition holds, or until the timeout. */
inline void runUntil(event_loop &loop, duration timeout, const std::function<bool()> &isDone)
{
    constexpr duration checkInterval = std::chrono::milliseconds{5};
    const auto check = loop.every(checkInterval, [&] {
        if (isDone()) {
            loop.stop();
        }
    });
    const auto end = loop.after(timeout, [&] { loop.stop(); });
    loop.run();
}

} // namespace parsleyglade
