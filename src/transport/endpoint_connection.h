#pragma once

#include "runtime/event_loop.h"
#include "transport/endpoint_call.h"
#include "transport/endpoint_client_settings.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace parsleyglade {

/** One connection to an endpoint, on evhttp. Counts the bytes written, which evhttp does not report, to distinguish a
    request that was never sent from one that may have run. Keeps itself alive during a call; owns its socket. */
class endpoint_connection : public std::enable_shared_from_this<endpoint_connection>
{
public:
    /** @param reusable whether the connection may carry another request. */
    using completion = std::function<void(call_result, bool reusable)>;

    endpoint_connection(event_loop &loop, const endpoint_client_settings &settings, const std::string &address);
    endpoint_connection(const endpoint_connection &) = delete;
    endpoint_connection &operator=(const endpoint_connection &) = delete;
    ~endpoint_connection();

    /** Whether the address was well-formed. No other function may be called when it was not. */
    bool isValid() const;

    /** Sends a request. The callback runs once, after this function has returned. @pre no call is in flight on this connection */
    void call(const http_request &request, const std::string &requestId, duration timeout, completion done);

    /** Whether the connection can carry another request: it is open, has no unread input and has been idle for at most idleTimeout. */
    bool isUsable() const;

private:
    static void onResponse(evhttp_request *response, void *argument);
    static void onWritten(evbuffer *buffer, const evbuffer_cb_info *info, void *argument);
    static void onConnectionClosed(evhttp_connection *connection, void *argument);

    void finish(evhttp_request *response);
    void handleTimeout();
    void closeSocket();
    call_result classifyResponse(evhttp_request *response) const;
    call_result makeFailureResult(result_code code) const;
    void complete(call_result result, bool reusable);

    event_loop &m_loop;
    endpoint_client_settings m_settings;
    bufferevent *m_buffer = nullptr; /**< Owned by m_connection. */
    evhttp_connection *m_connection = nullptr;
    std::string m_requestId;
    completion m_done;
    timer_subscription m_timeout;
    timer_subscription m_connectTimeout;
    time_point m_lastUsed{};
    std::size_t m_writtenBytes = 0;
    bool m_isClosed = false;
};

} // namespace parsleyglade
