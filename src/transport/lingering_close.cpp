#include "transport/lingering_close.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace parsleyglade {

namespace {

constexpr duration lingerTimeout = std::chrono::seconds{1};

} // namespace

lingering_close::lingering_close(event_loop &loop)
    : m_loop(loop)
{
}

lingering_close::~lingering_close()
{
    if (m_buffer != nullptr) {
        bufferevent_free(m_buffer);
    }
}

void lingering_close::start(event_loop &loop, int socket, const std::string &response, std::shared_ptr<const void> completionToken)
{
    const std::shared_ptr<lingering_close> session(new lingering_close(loop));
    loop.retain(session);
    session->m_completionToken = std::move(completionToken);
    session->m_buffer = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);

    const auto drop = [](bufferevent *buffer, void *) {
        evbuffer *input = bufferevent_get_input(buffer);
        evbuffer_drain(input, evbuffer_get_length(input));
    };
    const auto endWriting = [](bufferevent *buffer, void *) {
        ::shutdown(bufferevent_getfd(buffer), SHUT_WR);
    };
    const auto end = [](bufferevent *, short, void *argument) {
        static_cast<lingering_close *>(argument)->finish();
    };
    bufferevent_setcb(session->m_buffer, drop, endWriting, end, session.get());
    bufferevent_enable(session->m_buffer, EV_READ | EV_WRITE);
    bufferevent_write(session->m_buffer, response.data(), response.size());
    session->m_timeout = loop.after(lingerTimeout, [raw = session.get()] { raw->finish(); });
}

void lingering_close::finish()
{
    m_timeout.cancel();
    m_loop.release(this);
}

} // namespace parsleyglade
