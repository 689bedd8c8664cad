#include "standin.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <optional>
#include <random>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

/** Binds a port of the loopback address. Returns the socket, or nothing if the port is in use. */
std::optional<int> bindPort(std::uint16_t port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(handle);
        return std::nullopt;
    }
    return handle;
}

/** Prints the ports of a block of which none is in use. They lie below those that the system gives to outgoing channels. */
int printFreePorts()
{
    constexpr int lowest = 12'000;
    constexpr int blocks = 180;
    constexpr int blockSize = 100;
    constexpr int maximumTries = 100;
    std::random_device random;
    std::uniform_int_distribution<int> block(0, blocks - 1);
    for (int tries = 0; tries < maximumTries; ++tries) {
        const int first = lowest + block(random) * blockSize;
        std::vector<int> sockets;
        for (int port = first; port < first + blockSize; ++port) {
            if (const auto handle = bindPort(static_cast<std::uint16_t>(port))) {
                sockets.push_back(*handle);
            }
        }
        for (const int handle : sockets) {
            ::close(handle);
        }
        if (sockets.size() == blockSize) {
            for (int port = first; port < first + blockSize; ++port) {
                std::printf("%d\n", port);
            }
            return 0;
        }
    }
    return 1;
}

} // namespace

int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string program = argc > 1 ? argv[1] : "";
    if (program == "free-ports") {
        return printFreePorts();
    }
    const auto options = standin::readOptions(argc, argv);
    if (program == "platform") {
        return standin::runPlatform(options);
    }
    if (program == "executor") {
        return standin::runExecutor(options);
    }
    if (program == "request") {
        return standin::runRequest(options);
    }
    if (program == "write") {
        return standin::runWrite(options);
    }
    if (program == "proxy") {
        return standin::runProxy(options);
    }
    std::fprintf(stderr, "usage: standin-3 platform|executor|request|write|proxy|free-ports ...\n");
    return 2;
}
