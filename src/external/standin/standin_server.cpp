#include "external/standin/standin_server.h"

#include "external/delayed_calls.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <event2/http.h>
#include <map>
#include <stdexcept>
#include <vector>

namespace parsleyglade {

namespace {

struct server_deleter
{
    void operator()(evhttp *server) const
    {
        evhttp_free(server);
    }
};

constexpr ev_uint16_t allowedMethods
    = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;
constexpr ev_ssize_t maximumHeaderBytes = ev_ssize_t{64} * 1024;
constexpr ev_ssize_t maximumBodyBytes = ev_ssize_t{16} * 1024 * 1024;
constexpr int idleTimeoutSeconds = 600;

int parsePort(const std::string &address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    if (colon == std::string::npos || std::from_chars(address.data() + colon + 1, end, port).ptr != end || colon + 1 == address.size()) {
        throw std::runtime_error("the address is not IP:PORT: " + address);
    }
    return port;
}

} // namespace

struct standin_server::state
{
    state(event_loop &loop, handler handle)
        : handleExchange(std::move(handle))
        , calls(loop)
        , server(evhttp_new(loop.base()))
    {
    }

    ~state()
    {
        for (const auto &[connection, exchange] : exchanges) {
            if (const auto open = exchange.lock()) {
                open->markClosed();
            }
        }
    }

    state(const state &) = delete;
    state &operator=(const state &) = delete;

    static void onRequest(evhttp_request *request, void *argument)
    {
        auto *self = static_cast<state *>(argument);
        evhttp_connection *connection = evhttp_request_get_connection(request);
        const auto exchange = std::make_shared<standin_exchange>(request);
        if (self->exchanges.insert_or_assign(connection, exchange).second) {
            self->connectionOrder.push_back(connection);
        }
        evhttp_connection_set_closecb(connection, onClose, self);

        // The handler may free the connection, which evhttp does not permit inside this callback.
        self->calls.after(duration::zero(), [self, exchange] { self->handleExchange(exchange); });
    }

    static void onClose(evhttp_connection *connection, void *argument)
    {
        auto *self = static_cast<state *>(argument);
        const auto found = self->exchanges.find(connection);
        if (found == self->exchanges.end()) {
            return;
        }
        if (const auto open = found->second.lock()) {
            open->markClosed();
        }
        self->exchanges.erase(found);
        std::erase(self->connectionOrder, connection);
    }

    handler handleExchange;
    std::string address;
    std::map<const void *, std::weak_ptr<standin_exchange>> exchanges;
    std::vector<const void *> connectionOrder;
    delayed_calls calls;
    std::unique_ptr<evhttp, server_deleter> server;
};

standin_server::standin_server(event_loop &loop, const std::string &address, handler handle)
    : m_state(std::make_unique<state>(loop, std::move(handle)))
{
    const int port = parsePort(address);
    const std::string ip = address.substr(0, address.rfind(':'));
    evhttp *server = m_state->server.get();
    evhttp_set_allowed_methods(server, allowedMethods);
    evhttp_set_max_headers_size(server, maximumHeaderBytes);
    evhttp_set_max_body_size(server, maximumBodyBytes);
    evhttp_set_timeout(server, idleTimeoutSeconds);
    evhttp_set_gencb(server, state::onRequest, m_state.get());

    evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(server, ip.c_str(), static_cast<ev_uint16_t>(port));
    if (bound == nullptr) {
        throw std::runtime_error("cannot listen at " + address);
    }

    sockaddr_in name{};
    socklen_t size = sizeof name;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&name), &size);
    m_state->address = ip + ':' + std::to_string(ntohs(name.sin_port));
}

standin_server::~standin_server() = default;

const std::string &standin_server::address() const
{
    return m_state->address;
}

std::size_t standin_server::connectionCount() const
{
    return m_state->connectionOrder.size();
}

bool standin_server::isAmongFirst(const standin_exchange &exchange, std::size_t count) const
{
    const auto &connectionOrder = m_state->connectionOrder;
    const auto end = connectionOrder.begin() + static_cast<std::ptrdiff_t>(std::min(count, connectionOrder.size()));
    return std::find(connectionOrder.begin(), end, exchange.connection()) != end;
}

} // namespace parsleyglade
