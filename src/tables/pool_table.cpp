#include "tables/pool_table.h"

#include <algorithm>

namespace parsleyglade {

namespace {

std::string serialize(const std::vector<pool> &pools)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const pool &each : pools) {
        entries.push_back(toJson(each));
    }
    return nlohmann::json{{"pools", std::move(entries)}}.dump();
}

} // namespace

pool_table::pool_table()
    : pool_table(std::vector<pool>())
{
}

pool_table::pool_table(std::vector<pool> pools)
    : m_pools(std::move(pools))
{
    std::sort(m_pools.begin(), m_pools.end(), [](const pool &left, const pool &right) { return left.name < right.name; });
    for (std::size_t poolIndex = 0; poolIndex < m_pools.size(); ++poolIndex) {
        std::vector<pool_host> &hosts = m_pools[poolIndex].hosts;
        std::sort(hosts.begin(), hosts.end(), [](const pool_host &left, const pool_host &right) { return left.host < right.host; });
        for (std::size_t hostIndex = 0; hostIndex < hosts.size(); ++hostIndex) {
            m_byHost.push_back({poolIndex, hostIndex});
        }
    }

    std::sort(m_byHost.begin(), m_byHost.end(), [this](position left, position right) { return hostAt(left).host < hostAt(right).host; });
    m_canonicalJson = serialize(m_pools);
}

const std::vector<pool> &pool_table::pools() const
{
    return m_pools;
}

const pool *pool_table::findPool(std::string_view name) const
{
    const auto found = std::lower_bound(m_pools.begin(), m_pools.end(), name, [](const pool &each, std::string_view wanted) { return each.name < wanted; });
    return found != m_pools.end() && found->name == name ? &*found : nullptr;
}

const pool *pool_table::poolOfHost(std::string_view host) const
{
    const position *found = findPosition(host);
    return found != nullptr ? &m_pools[found->pool] : nullptr;
}

const pool_host *pool_table::findHost(std::string_view host) const
{
    const position *found = findPosition(host);
    return found != nullptr ? &hostAt(*found) : nullptr;
}

std::size_t pool_table::hostCount() const
{
    return m_byHost.size();
}

const std::string &pool_table::canonicalJson() const
{
    return m_canonicalJson;
}

const pool_host &pool_table::hostAt(position place) const
{
    return m_pools[place.pool].hosts[place.host];
}

const pool_table::position *pool_table::findPosition(std::string_view host) const
{
    const auto found
        = std::lower_bound(m_byHost.begin(), m_byHost.end(), host, [this](position each, std::string_view wanted) { return hostAt(each).host < wanted; });
    return found != m_byHost.end() && hostAt(*found).host == host ? &*found : nullptr;
}

} // namespace parsleyglade
