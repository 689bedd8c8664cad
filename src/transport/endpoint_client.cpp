#include "transport/endpoint_client.h"

#include "transport/endpoint_connection.h"

namespace parsleyglade {

endpoint_client::endpoint_client(event_loop &loop, endpoint_client_settings settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_sweep(loop.every(settings.idleTimeLimit, [this] { sweepIdle(); }))
{
}

endpoint_client::~endpoint_client()
{
    *m_alive = false;
}

void endpoint_client::call(const std::string &address, const http_request &request, const std::string &requestId, duration limit,
                           std::function<void(call_result)> done)
{
    const auto connection = takeConnection(address);
    if (!connection) {
        m_loop.post([done = std::move(done)] { done({call_progress::not_sent, result_code::too_many_connections, {}}); });
        return;
    }

    // The connection owns this callback, which must not own the connection in turn.
    connection->call(request, requestId, limit,
                     [this, alive = m_alive, address, weak = std::weak_ptr(connection), done = std::move(done)](call_result result, bool reusable) {
                         const auto held = weak.lock();
                         if (*alive && held) {
                             release(address, held, reusable);
                         }
                         done(std::move(result));
                     });
}

std::size_t endpoint_client::connectionCount(const std::string &address) const
{
    const auto found = m_pools.find(address);
    return found == m_pools.end() ? 0 : found->second.open;
}

std::shared_ptr<endpoint_connection> endpoint_client::takeConnection(const std::string &address)
{
    address_pool &pool = m_pools[address];
    while (!pool.idle.empty()) {
        auto connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (connection->isUsable()) {
            return connection;
        }
        --pool.open;
    }

    if (pool.open >= m_settings.maximumConnectionsEach) {
        return nullptr;
    }

    auto connection = std::make_shared<endpoint_connection>(m_loop, m_settings, address);
    if (!connection->isValid()) {
        return nullptr;
    }
    ++pool.open;
    return connection;
}

void endpoint_client::release(const std::string &address, const std::shared_ptr<endpoint_connection> &connection, bool reusable)
{
    address_pool &pool = m_pools[address];
    if (reusable) {
        pool.idle.push_back(connection);
    } else {
        --pool.open;
    }
}

void endpoint_client::sweepIdle()
{
    for (auto &[address, pool] : m_pools) {
        pool.open -= std::erase_if(pool.idle, [](const auto &connection) { return !connection->isUsable(); });
    }
    std::erase_if(m_pools, [](const auto &item) { return item.second.open == 0; });
}

} // namespace parsleyglade
