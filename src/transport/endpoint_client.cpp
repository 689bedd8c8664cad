#include "transport/endpoint_client.h"

#include "transport/endpoint_connection.h"

namespace parsleyglade {

endpoint_client::endpoint_client(event_loop &loop, endpoint_client_settings settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_sweep(loop.every(settings.idleTimeout, [this] { removeUnusableConnections(); }))
{
}

endpoint_client::~endpoint_client()
{
    *m_alive = false;
}

void endpoint_client::call(const std::string &address, const http_request &request, const std::string &requestId, duration timeout,
                           std::function<void(call_result)> done)
{
    const auto connection = acquireConnection(address);
    if (!connection) {
        m_loop.post([done = std::move(done)] { done({call_progress::not_sent, result_code::too_many_connections, {}}); });
        return;
    }

    // The connection owns this callback, so the callback holds only a weak reference to it, to avoid a cycle.
    connection->call(request, requestId, timeout,
                     [this, alive = m_alive, address, weak = std::weak_ptr(connection), done = std::move(done)](call_result result, bool reusable) {
                         const auto usedConnection = weak.lock();
                         if (*alive && usedConnection) {
                             releaseConnection(address, usedConnection, reusable);
                         }
                         done(std::move(result));
                     });
}

std::size_t endpoint_client::connectionCount(const std::string &address) const
{
    const auto found = m_pools.find(address);
    return found == m_pools.end() ? 0 : found->second.open;
}

std::shared_ptr<endpoint_connection> endpoint_client::acquireConnection(const std::string &address)
{
    connection_pool &pool = m_pools[address];
    while (!pool.idle.empty()) {
        auto connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (connection->isUsable()) {
            return connection;
        }
        --pool.open;
    }

    if (pool.open >= m_settings.maximumConnectionsPerEndpoint) {
        return nullptr;
    }

    auto connection = std::make_shared<endpoint_connection>(m_loop, m_settings, address);
    if (!connection->isValid()) {
        return nullptr;
    }
    ++pool.open;
    return connection;
}

void endpoint_client::releaseConnection(const std::string &address, const std::shared_ptr<endpoint_connection> &connection, bool reusable)
{
    connection_pool &pool = m_pools[address];
    if (reusable) {
        pool.idle.push_back(connection);
    } else {
        --pool.open;
    }
}

void endpoint_client::removeUnusableConnections()
{
    for (auto &[address, pool] : m_pools) {
        pool.open -= std::erase_if(pool.idle, [](const auto &connection) { return !connection->isUsable(); });
    }
    std::erase_if(m_pools, [](const auto &item) { return item.second.open == 0; });
}

} // namespace parsleyglade
