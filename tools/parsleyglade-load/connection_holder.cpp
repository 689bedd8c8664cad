#include "connection_holder.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>

namespace parsleyglade {

namespace {

struct transport_deleter
{
    void operator()(bufferevent *transport) const
    {
        bufferevent_free(transport);
    }
};

} // namespace

struct connection_holder::state
{
    static void onEvent(bufferevent *transport, short what, void *argument)
    {
        auto *self = static_cast<state *>(argument);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            ++self->open;
            return;
        }

        // A connection that closes after it was open stops counting as open; one that was refused never counted.
        const bool wasOpen = (what & BEV_EVENT_READING) != 0;
        self->open -= wasOpen && self->open > 0 ? 1 : 0;
        ++self->lost;
        bufferevent_disable(transport, EV_READ | EV_WRITE);
    }

    std::vector<std::unique_ptr<bufferevent, transport_deleter>> transports;
    std::size_t open = 0;
    std::size_t lost = 0;
};

connection_holder::connection_holder(event_loop &loop, const std::vector<std::string> &targets, std::size_t count)
    : m_state(std::make_unique<state>())
{
    for (std::size_t index = 0; index < count; ++index) {
        sockaddr_storage address{};
        int size = sizeof address;
        if (evutil_parse_sockaddr_port(targets[index % targets.size()].c_str(), reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            ++m_state->lost;
            continue;
        }
        bufferevent *transport = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        m_state->transports.emplace_back(transport);
        bufferevent_setcb(transport, nullptr, nullptr, state::onEvent, m_state.get());
        bufferevent_enable(transport, EV_READ);
        if (bufferevent_socket_connect(transport, reinterpret_cast<sockaddr *>(&address), size) != 0) {
            ++m_state->lost;
        }
    }
}

connection_holder::~connection_holder() = default;

std::size_t connection_holder::openCount() const
{
    return m_state->open;
}

std::size_t connection_holder::lostCount() const
{
    return m_state->lost;
}

} // namespace parsleyglade
