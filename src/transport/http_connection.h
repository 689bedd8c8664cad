#pragma once

#include "core/result_code.h"
#include "runtime/event_loop.h"
#include "transport/http_exchange.h"
#include "transport/http_server_settings.h"

#include <event2/bufferevent.h>
#include <evhtp.h>
#include <functional>
#include <memory>

namespace parsleyglade {

/** One accepted connection: reads requests through libevhtp under the listener's limits and sends answers in order.
    Refuses bad input with an answer of its own and closes. Keeps itself alive until libevhtp ends the connection. */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using request_handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /** What a connection needs from its server, which outlives it. */
    struct context
    {
        event_loop &loop;
        const http_server_settings &settings;
        request_handler handler;
        std::function<http_response(result_code)> makeErrorResponse; /**< Answer for bad input. */
        std::function<void(http_connection *)> closed;
        std::shared_ptr<const void> lingeringCloseToken; /**< Held by each connection that ends with an answer of its own. */
        bool closeAfterResponse = false; /**< When set, connections close after their current answer. */
    };

    http_connection(context &owner, evhtp_connection_t *connection);
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;
    ~http_connection() = default;

    /** The session of a connection; null before start(). */
    static http_connection *fromLibevhtp(evhtp_connection_t *connection);

    /** Installs the hooks; from here on libevhtp's connection holds a reference. */
    void start();

    /** Sends the answer to the current request. */
    void send(const http_response &response);

    /** Passes a whole request to the handler. Called by the server's libevhtp callback. */
    void dispatch(evhtp_request_t *request);

    /** Ends the connection with an answer, outside the request order. */
    void refuse(result_code code);

    /** Whether a request is being read or handled. */
    bool isBusy() const;

    /** Closes the connection if no request is being read or handled, once it has been idle for the settings' quiet time. */
    void closeWhenIdle();

    /** Closes the connection at once. Not to be called from a callback of the same connection. */
    void abort();

private:
    static void onReadable(bufferevent *transport, void *argument);
    static evhtp_res onHeadersStart(evhtp_request_t *request, void *argument);
    static evhtp_res onHeader(evhtp_request_t *request, evhtp_header_t *header, void *argument);
    static evhtp_res onHeaders(evhtp_request_t *request, evhtp_headers_t *headers, void *argument);
    static evhtp_res onBody(evhtp_request_t *request, evbuffer *buffer, void *argument);
    static evhtp_res onClosed(evhtp_connection_t *connection, void *argument);

    bool mayParse(evbuffer *input);
    void resetForNextRequest();
    void beginRequest();
    void closeIfIdle();
    void checkHeaders(evhtp_request_t *request, evhtp_headers_t *headers);
    void end(evhtp_connection_t *connection);
    void closeWith(const http_response &response);
    void startLingeringClose(int socket);

    context &m_context;
    evhtp_connection_t *m_connection;
    evhtp_request_t *m_request = nullptr; /**< The request that waits for its answer. */
    std::string m_query; /**< As it came with the path; libevhtp adds the fields of a form body to its own. */
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_isReading = false; /**< A request has begun to arrive and is not whole yet. */
    bool m_isHeadParsed = false; /**< Of the request that is arriving. */
    bufferevent_data_cb m_parseCallback = nullptr; /**< libevhtp's parser. */
    bool m_isClosing = false;
    std::string m_closingResponse; /**< Answer that ends the connection; empty when none does. */
    timer_subscription m_requestTimeout;
    time_point m_idleSince{}; /**< When the connection was accepted, or its last answer was sent. */
    timer_subscription m_inputCheck; /**< Set while an idle connection waits to be closed. */
};

} // namespace parsleyglade
