#pragma once

#include "runtime/event_loop.h"

#include <memory>
#include <string>

struct bufferevent;

namespace parsleyglade {

/** Sends a final response on a connection, then reads and discards input until the other side closes or a timeout ends.
    Closing immediately with unread bytes would reset the connection, and the other side could lose the response.
    Keeps itself alive; owns the socket. */
class lingering_close
{
public:
    lingering_close(const lingering_close &) = delete;
    lingering_close &operator=(const lingering_close &) = delete;
    ~lingering_close();

    /** Takes ownership of a connected socket. @param completionToken released when the socket has been closed, so that the caller can detect it */
    static void start(event_loop &loop, int socket, const std::string &response, std::shared_ptr<const void> completionToken);

private:
    explicit lingering_close(event_loop &loop);

    void finish();

    event_loop &m_loop;
    bufferevent *m_buffer = nullptr;
    timer_subscription m_timeout;
    std::shared_ptr<const void> m_completionToken;
};

} // namespace parsleyglade
