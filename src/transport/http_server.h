#pragma once

#include "core/outcome.h"
#include "transport/http_connection.h"

#include <memory>
#include <unordered_set>

namespace parsleyglade {

/** HTTP server on libevhtp with one listener. Owns its listener and connections. Callbacks run on the loop's thread; the loop
    must outlive the server. Destruction closes the open connections; requests in flight get no response.
    @see http_exchange */
class http_server
{
public:
    /** @param handler called with each complete request.
        @param makeErrorResponse returns the response for invalid input and exceeded limits. */
    http_server(event_loop &loop, http_server_settings settings, http_connection::request_handler handler,
                std::function<http_response(result_code)> makeErrorResponse);
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    ~http_server();

    /** Starts to listen and returns the port. Fails with invalid_value when the address can't be bound. */
    outcome<std::uint16_t> listen();

    /** Closes each connection after its next response, from now on, so that callers move to another server. New connections are still accepted. */
    void closeConnectionsAfterResponses();

    /** Stops accepting connections, closes each idle connection once it has been idle for drainIdleTimeout, and each other one
        after its current response. A connection or request that this host's kernel has already received is still served. */
    void stopAccepting();

    /** Whether every connection is closed and every closing response has been sent, or its timeout has ended. The process may exit then. */
    bool isDrained() const;

    /** Number of open connections, excluding those that only finish sending a closing response. */
    std::size_t connectionCount() const;

private:
    static evhtp_res onAccept(evhtp_connection_t *connection, void *argument);
    static void onRequest(evhtp_request_t *request, void *argument);

    void closeListener();

    event_loop &m_loop;
    http_server_settings m_settings;
    http_connection::context m_context;
    evhtp_t *m_server = nullptr;
    bool m_isBound = false;
    bool m_isStopping = false;
    timer_subscription m_listenerCheck;
    std::unordered_set<http_connection *> m_connections;
};

} // namespace parsleyglade
