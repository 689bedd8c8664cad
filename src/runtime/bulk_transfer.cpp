#include "runtime/bulk_transfer.h"

#include <cstddef>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumBytesPerIteration = std::size_t{256} * 1024;

// libevent reads at most this many bytes at once, so a read of as many bytes has probably left some in the socket.
constexpr std::size_t bytesOfFullRead = 4096;

/** Reads on after a full read. Each further read calls this again, until the socket is empty or the limit is reached. */
void readOn(evbuffer *input, const evbuffer_cb_info *info, void *argument)
{
    if (info->n_added >= bytesOfFullRead && evbuffer_get_length(input) < maximumBytesPerIteration) {
        // The result is not needed: the buffer event reports the end of the connection and errors with its next read.
        evbuffer_read(input, bufferevent_getfd(static_cast<bufferevent *>(argument)), -1);
    }
}

} // namespace

void allowBulkTransfer(bufferevent *transport)
{
    bufferevent_set_max_single_write(transport, maximumBytesPerIteration);
    evbuffer_add_cb(bufferevent_get_input(transport), readOn, transport);
}

} // namespace parsleyglade
