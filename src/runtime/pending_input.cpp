#include "runtime/pending_input.h"

#include <poll.h>

namespace parsleyglade {

bool hasPendingInput(int socket)
{
    pollfd item{socket, POLLIN, 0};
    constexpr nfds_t descriptorCount = 1;
    constexpr int timeoutMilliseconds = 0;
    return ::poll(&item, descriptorCount, timeoutMilliseconds) == 1 && (item.revents & POLLIN) != 0;
}

} // namespace parsleyglade
