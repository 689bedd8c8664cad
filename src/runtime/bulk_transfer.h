#pragma once

struct bufferevent;

namespace parsleyglade {

/**
 * Lets a socket pass up to 256 KB in each direction in one iteration of the event loop.
 *
 * libevent passes at most 4 KB in and 16 KB out for each socket and iteration. While iterations take long, because the process has much to do, a large
 * message is otherwise delayed by as many iterations as it has such pieces. Call it once for each buffer event, whose backend must be a socket.
 */
void allowBulkTransfer(bufferevent *transport);

} // namespace parsleyglade
