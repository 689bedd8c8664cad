#include "transport/http_server.h"

#include "runtime/pending_input.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace parsleyglade {

namespace {

constexpr int listenBacklog = 1024;

timeval toTimeval(duration value)
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    return {static_cast<time_t>(value.count() / microsecondsPerSecond), static_cast<suseconds_t>(value.count() % microsecondsPerSecond)};
}

} // namespace

http_server::http_server(event_loop &loop, http_server_settings settings, http_connection::request_handler handler,
                         std::function<http_response(result_code)> makeErrorResponse)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_context{loop,
                m_settings,
                std::move(handler),
                std::move(makeErrorResponse),
                [this](http_connection *closed) {
                    m_connections.erase(closed); },
                std::make_shared<int>(0)}
    , m_server(evhtp_new(loop.base(), nullptr))
{
    const timeval idle = toTimeval(m_settings.idleTimeout);
    evhtp_set_timeouts(m_server, &idle, &idle);
    evhtp_set_post_accept_cb(m_server, &onAccept, this);
    evhtp_set_gencb(m_server, &onRequest, this);
}

http_server::~http_server()
{
    m_context.handler = [](const std::shared_ptr<http_exchange> &) {
    };
    while (!m_connections.empty()) {
        (*m_connections.begin())->abort();
    }
    if (m_isBound) {
        evhtp_unbind_socket(m_server);
    }
    evhtp_free(m_server);
}

outcome<std::uint16_t> http_server::listen()
{
    if (evhtp_bind_socket(m_server, m_settings.address.c_str(), m_settings.port, listenBacklog) != 0) {
        return failure{result_code::invalid_value, "cannot listen on " + m_settings.address + ':' + std::to_string(m_settings.port), {}};
    }

    m_isBound = true;
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    ::getsockname(evconnlistener_get_fd(m_server->server), reinterpret_cast<sockaddr *>(&bound), &size);
    return ntohs(bound.sin_port);
}

void http_server::closeConnectionsAfterResponses()
{
    m_context.closeAfterResponse = true;
}

void http_server::stopAccepting()
{
    closeConnectionsAfterResponses();
    m_isStopping = true;
    closeListener();
    const auto connections = m_connections;
    for (http_connection *connection : connections) {
        connection->closeWhenIdle();
    }
}

/** Closing a listener resets connections that the kernel has established but the server has not accepted, so those are accepted first. */
void http_server::closeListener()
{
    if (!m_isBound) {
        return;
    }
    if (hasPendingInput(evconnlistener_get_fd(m_server->server))) {
        m_listenerCheck = m_loop.after(pendingInputCheckInterval, [this] { closeListener(); });
        return;
    }

    evhtp_unbind_socket(m_server);
    m_isBound = false;
}

bool http_server::isDrained() const
{
    constexpr long ownReferences = 1;
    return m_connections.empty() && m_context.lingeringCloseToken.use_count() == ownReferences;
}

std::size_t http_server::connectionCount() const
{
    return m_connections.size();
}

evhtp_res http_server::onAccept(evhtp_connection_t *connection, void *argument)
{
    auto *self = static_cast<http_server *>(argument);
    const auto session = std::make_shared<http_connection>(self->m_context, connection);
    session->start();
    self->m_connections.insert(session.get());

    // Responses are small and written at once, so Nagle's algorithm would only delay them.
    const int enabled = 1;
    ::setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));

    if (self->m_isStopping) {
        session->closeWhenIdle();
    }
    if (self->m_connections.size() > self->m_settings.maximumConnections) {
        session->refuse(result_code::too_many_connections);
    }
    return EVHTP_RES_OK;
}

void http_server::onRequest(evhtp_request_t *request, void *)
{
    if (http_connection *session = http_connection::fromLibevhtp(evhtp_request_get_connection(request))) {
        session->dispatch(request);
    }
}

} // namespace parsleyglade
