#pragma once

#include "external/http_requester_settings.h"
#include "external/http_result.h"
#include "external/outgoing_request.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/**
 * HTTP client on libevent's evhttp that owns its connections and never sends a request twice. Each connection carries one request at a time;
 * idle connections are reused. A connection is closed after a failure, a timeout or bytes that follow the response.
 */
class http_requester
{
public:
    /** @param loop Must outlive this object. */
    http_requester(event_loop &loop, http_requester_settings settings);
    http_requester(const http_requester &) = delete;
    http_requester &operator=(const http_requester &) = delete;
    ~http_requester();

    /** Sends a request. The callback runs once, on the event loop, never before this call has returned and never after destruction. */
    void send(const outgoing_request &request, std::function<void(http_result)> done);

    /** Number of open connections, busy and idle. */
    std::size_t connectionCount() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace parsleyglade
