#pragma once

#include "core/outcome.h"
#include "runtime/event_loop.h"
#include "transport/endpoint_call.h"
#include "transport/endpoint_client_settings.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyglade {

class endpoint_connection;

/** HTTP client towards endpoints. One request at a time on a connection; a connection is kept only after a whole answer
    that belongs to its request with nothing before or behind it. Never repeats a request by itself. Owns its sockets. */
class endpoint_client
{
public:
    endpoint_client(event_loop &loop, endpoint_client_settings settings);
    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;
    ~endpoint_client();

    /** Sends one request. The callback runs once, never before the call has returned.
        @param address IP number and port.
        @param requestId sent as Request-Id; an answer that carries another one counts as broken.
        @param limit time from now to the end of the answer. */
    void call(const std::string &address, const http_request &request, const std::string &requestId, duration timeout, std::function<void(call_result)> done);

    /** Connections that are open to an endpoint. */
    std::size_t connectionCount(const std::string &address) const;

private:
    struct connection_pool
    {
        std::vector<std::shared_ptr<endpoint_connection>> idle;
        std::size_t open = 0;
    };

    std::shared_ptr<endpoint_connection> acquireConnection(const std::string &address);
    void releaseConnection(const std::string &address, const std::shared_ptr<endpoint_connection> &connection, bool reusable);
    void removeUnusableConnections();

    event_loop &m_loop;
    endpoint_client_settings m_settings;
    std::unordered_map<std::string, connection_pool> m_pools;
    timer_subscription m_sweep;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace parsleyglade
