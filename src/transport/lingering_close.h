#pragma once

#include "runtime/event_loop.h"

#include <memory>
#include <string>

struct bufferevent;

namespace parsleyglade {

/** Writes a last answer to a connection, then reads and drops what still arrives until the other side closes or a
    time limit ends. Closing at once with unread bytes would reset the connection and could destroy the answer.
    Keeps itself alive; owns the socket. */
class lingering_close
{
public:
    lingering_close(const lingering_close &) = delete;
    lingering_close &operator=(const lingering_close &) = delete;
    ~lingering_close();

    /** Takes over a connected socket. @param held released when the close has ended, so that its holder can tell */
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
