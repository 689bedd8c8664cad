#pragma once

#include "core/outcome.h"
#include "transport/http_connection.h"

#include <memory>
#include <unordered_set>

namespace parsleyglade {

/** An HTTP listener on libevhtp. Owns its socket and connections; everything runs on the loop's thread.
    @see http_exchange */
class http_server
{
public:
    /** @param refusal makes the answer for bad input, with a status, body and Retry-After of the product's form. */
    http_server(event_loop &loop, http_server_settings settings, http_connection::request_handler handler,
                std::function<http_response(result_code)> makeErrorResponse);
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    ~http_server();

    /** Listens. Fails with invalid_value when the address can't be bound. */
    outcome<std::uint16_t> listen();

    /** From here on every answer ends its connection, so that callers move to another server. New connections are still accepted. */
    void closeConnectionsAfterResponses();

    /** Accepts nothing more, and closes idle connections once they have been idle for the quiet time; the others end with their current
        answer. A connection or request that has reached this host's sockets by now is still served. */
    void stopAccepting();

    /** Whether no connection is open and no last answer is on its way any more; the process may end then. */
    bool isDrained() const;

    /** Connections that are open now, without those that end with their last answer. */
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
