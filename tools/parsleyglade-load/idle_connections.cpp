#include "idle_connections.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>

namespace parsleyglade {

namespace {

struct bufferevent_deleter
{
    void operator()(bufferevent *connection) const
    {
        bufferevent_free(connection);
    }
};

} // namespace

struct idle_connections::state
{
    static void onEvent(bufferevent *connection, short events, void *argument)
    {
        auto *self = static_cast<state *>(argument);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            ++self->open;
            return;
        }

        // A closed connection no longer counts as open; a refused one was never counted as open.
        const bool wasOpen = (events & BEV_EVENT_READING) != 0;
        self->open -= wasOpen && self->open > 0 ? 1 : 0;
        ++self->lost;
        bufferevent_disable(connection, EV_READ | EV_WRITE);
    }

    std::vector<std::unique_ptr<bufferevent, bufferevent_deleter>> connections;
    std::size_t open = 0;
    std::size_t lost = 0;
};

idle_connections::idle_connections(event_loop &loop, const std::vector<std::string> &targets, std::size_t count)
    : m_state(std::make_unique<state>())
{
    for (std::size_t index = 0; index < count; ++index) {
        sockaddr_storage address{};
        int size = sizeof address;
        if (evutil_parse_sockaddr_port(targets[index % targets.size()].c_str(), reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            ++m_state->lost;
            continue;
        }
        bufferevent *connection = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        m_state->connections.emplace_back(connection);
        bufferevent_setcb(connection, nullptr, nullptr, state::onEvent, m_state.get());
        bufferevent_enable(connection, EV_READ);
        if (bufferevent_socket_connect(connection, reinterpret_cast<sockaddr *>(&address), size) != 0) {
            ++m_state->lost;
        }
    }
}

idle_connections::~idle_connections() = default;

std::size_t idle_connections::openCount() const
{
    return m_state->open;
}

std::size_t idle_connections::lostCount() const
{
    return m_state->lost;
}

} // namespace parsleyglade
