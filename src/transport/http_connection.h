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

/** One accepted connection: reads requests through libevhtp within the listener's limits and sends responses in order.
    Sends an error response to invalid input and closes. Keeps itself alive until libevhtp closes the connection.
    Used only by http_server; handlers use http_exchange. */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    /** Called with each complete request, on the loop's thread. */
    using request_handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /** State of the server that its connections share; outlives them. */
    struct context
    {
        event_loop &loop;
        const http_server_settings &settings;
        request_handler handler;
        std::function<http_response(result_code)> makeErrorResponse; /**< Response for invalid input. */
        std::function<void(http_connection *)> closed; /**< Called when a connection has been closed. */
        std::shared_ptr<const void> lingeringCloseToken; /**< Copied by each lingering_close, so that its use count shows how many are left. */
        bool closeAfterResponse = false; /**< When set, each connection closes after its current response. */
    };

    http_connection(context &owner, evhtp_connection_t *connection);
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;
    ~http_connection() = default;

    /** The http_connection of a libevhtp connection; null before start(). */
    static http_connection *fromLibevhtp(evhtp_connection_t *connection);

    /** Installs the libevhtp hooks. From then on the loop keeps this object alive until the connection is closed. */
    void start();

    /** Sends the response to the current request. Does nothing when there is none or the connection is closing. */
    void send(const http_response &response);

    /** Passes a complete request to the handler. Called by the server's libevhtp callback. */
    void dispatch(evhtp_request_t *request);

    /** Sends an error response in place of any pending response, and closes the connection. */
    void refuse(result_code code);

    /** Whether a request is being received or awaits its response. */
    bool isBusy() const;

    /** Closes the connection once it has been idle for the settings' drainIdleTimeout. Does nothing while it is busy. */
    void closeWhenIdle();

    /** Closes the connection immediately. Must not be called from a libevhtp callback of the same connection. */
    void abort();

private:
    static void onReadable(bufferevent *transport, void *argument);
    static evhtp_res onHeadersStart(evhtp_request_t *request, void *argument);
    static evhtp_res onHeader(evhtp_request_t *request, evhtp_header_t *header, void *argument);
    static evhtp_res onHeaders(evhtp_request_t *request, evhtp_headers_t *headers, void *argument);
    static evhtp_res onBody(evhtp_request_t *request, evbuffer *buffer, void *argument);
    static evhtp_res onClosed(evhtp_connection_t *connection, void *argument);

    /** Whether libevhtp may parse the input now. Starts the request timeout, or refuses a head that is too large. */
    bool mayParse(evbuffer *input);
    void resetForNextRequest();
    void beginRequest();
    void closeIfIdle();
    void checkHeaders(evhtp_request_t *request, evhtp_headers_t *headers);
    void end(evhtp_connection_t *connection);
    /** Sends a response, ignores further input and closes the connection. */
    void closeWith(const http_response &response);
    void startLingeringClose(int socket);

    context &m_context;
    evhtp_connection_t *m_connection;
    evhtp_request_t *m_request = nullptr; /**< The request that awaits its response. */
    std::string m_query; /**< As received after the path; libevhtp adds the fields of a form body to its own copy. */
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_isReading = false; /**< A request has been received in part. */
    bool m_isHeadParsed = false; /**< Whether the parser has begun the head of the request that is being received. */
    bufferevent_data_cb m_parseCallback = nullptr; /**< libevhtp's read callback, which parses the input. */
    bool m_isClosing = false; /**< Set by closeWith(); further input and responses are ignored. */
    std::string m_closingResponse; /**< Response after which the connection is closed; empty when there is none. */
    timer_subscription m_requestTimeout;
    time_point m_idleSince{}; /**< When the connection was accepted or its last response was sent. */
    timer_subscription m_inputCheck; /**< Active while closeIfIdle() waits to check the connection again. */
};

} // namespace parsleyglade
