#include "runtime/bulk_transfer.h"

#include <cstddef>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumBytesPerIteration = std::size_t{256} * 1024;

// libevent reads at most this many bytes at once, so a read of as many bytes has probably left some in the socket.
constexpr std::size_t bytesOfFullRead = 4096;

/** Reads on after a full read of the buffer event, until the socket is empty or the limit is reached. The bytes may belong to a message that is larger than
    the limit, so those that the buffer had before don't count. */
void readOn(evbuffer *input, const evbuffer_cb_info *info, void *argument)
{
    thread_local bool isReadingOn = false; // each further read calls this again
    if (isReadingOn || info->n_added < bytesOfFullRead) {
        return;
    }
    isReadingOn = true;
    const std::size_t limit = info->orig_size + maximumBytesPerIteration;
    const auto socket = bufferevent_getfd(static_cast<bufferevent *>(argument));
    // The last result is not needed: the buffer event reports the end of the connection and errors with its next read.
    while (evbuffer_get_length(input) < limit && evbuffer_read(input, socket, -1) >= static_cast<int>(bytesOfFullRead)) { }
    isReadingOn = false;
}

} // namespace

void allowBulkTransfer(bufferevent *transport)
{
    bufferevent_set_max_single_write(transport, maximumBytesPerIteration);
    evbuffer_add_cb(bufferevent_get_input(transport), readOn, transport);
}

} // namespace parsleyglade
