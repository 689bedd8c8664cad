#include "runtime/pending_input.h"

#include <poll.h>

namespace parsleyglade {

bool hasPendingInput(int socket)
{
    pollfd item{socket, POLLIN, 0};
    constexpr nfds_t one = 1;
    constexpr int atOnce = 0;
    return ::poll(&item, one, atOnce) == 1 && (item.revents & POLLIN) != 0;
}

} // namespace parsleyglade
