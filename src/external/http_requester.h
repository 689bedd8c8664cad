#pragma once

#include "external/http_requester_settings.h"
#include "external/http_result.h"
#include "external/outgoing_request.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/**
 * Sends HTTP requests over evhttp connections of its own and never sends one twice. Each connection carries one request at a time;
 * idle ones are used again. A connection is closed after a failure, a time-out or surplus bytes.
 */
class http_requester
{
public:
    /** @param loop Must outlive this object. */
    http_requester(event_loop &loop, http_requester_settings settings);
    http_requester(const http_requester &) = delete;
    http_requester &operator=(const http_requester &) = delete;
    ~http_requester();

    /** Sends a request. The callback runs once, never before this call has returned, and not after the requester is destroyed. */
    void send(const outgoing_request &request, std::function<void(http_result)> done);

    /** Open connections, busy and idle. */
    std::size_t connectionCount() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace parsleyglade
