#include "standin.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

/** Prints ports of the loopback addresses that nothing listens on. All are held until the last one is known, so that they differ. */
int printFreePorts(int count)
{
    std::vector<int> sockets;
    for (int number = 0; number < count; ++number) {
        const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (::bind(handle, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            return 1;
        }
        sockets.push_back(handle);
        std::printf("%d\n", ntohs(address.sin_port));
    }
    for (const int handle : sockets) {
        ::close(handle);
    }
    return 0;
}

} // namespace

int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string program = argc > 1 ? argv[1] : "";
    if (program == "free-ports") {
        return printFreePorts(argc > 2 ? std::atoi(argv[2]) : 1);
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
    std::fprintf(stderr, "usage: standin-3 platform|executor|request|write|free-ports ...\n");
    return 2;
}
