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

/** HTTP client for endpoints, with a pool of connections for each address. A connection carries one request at a time, and
    is reused only after a complete response that belongs to its request and is neither preceded nor followed by other bytes.
    Never retries a request. The loop must outlive the client, which owns its sockets. A call in flight outlives the client:
    its callback still runs. */
class endpoint_client
{
public:
    endpoint_client(event_loop &loop, endpoint_client_settings settings);
    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;
    ~endpoint_client();

    /** Sends one request. The callback runs once, after this function has returned. Reports not_sent with
        too_many_connections when the endpoint has maximumConnectionsPerEndpoint requests in flight or the address is malformed.
        @param address IP:PORT of the endpoint.
        @param requestId sent as Request-Id; a response with another Request-Id is reported as outcome_unknown.
        @param timeout from now until the complete response has been received. */
    void call(const std::string &address, const http_request &request, const std::string &requestId, duration timeout, std::function<void(call_result)> done);

    /** Number of open connections to an endpoint, idle or in use. */
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
