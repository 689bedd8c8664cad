#include "fleet/availability_budget.h"

#include "fleet/membership.h"

#include <algorithm>
#include <cmath>

namespace parsleyglade {

availability_budget::availability_budget(const fleet_tables &tables, const fleet_state &state, const fleet_health &health, double hostUnavailability)
{
    addPools(tables);
    const drain_index drains(state);
    for (const fleet_host &host : tables.hosts) {
        addHost(host, state, health, drains);
    }
    addReserves(hostUnavailability);
}

void availability_budget::addPools(const fleet_tables &tables)
{
    for (const fleet_pool &pool : tables.pools) {
        pool_entry entry;
        entry.row.name = pool.name;
        entry.row.minimum = static_cast<std::int64_t>(pool.minimumHosts);
        entry.service = pool.service;
        entry.objective = pool.availabilityObjective;
        m_pools.emplace(pool.name, std::move(entry));

        budget_row &service = m_services[pool.service];
        service.name = pool.service;
        service.minimum += static_cast<std::int64_t>(pool.minimumHosts);
    }
}

void availability_budget::addHost(const fleet_host &host, const fleet_state &state, const fleet_health &health, const drain_index &drains)
{
    const std::string &poolName = currentPool(state, host);
    const auto pool = m_pools.find(poolName);
    if (pool == m_pools.end()) {
        return;
    }

    const auto healthEntry = health.find(host.name);
    const host_health condition = healthEntry == health.end() ? host_health::down : healthEntry->second;
    const auto assigned = state.hosts.find(host.name);
    const bool moving = assigned != state.hosts.end() && assigned->second.isLeaving();
    const auto count = [&](budget_row &row) {
        ++row.hosts;
        if (condition == host_health::down) {
            ++row.down;
        } else if (condition == host_health::suspect) {
            ++row.suspect;
        } else if (drains.covers(host)) {
            ++row.draining;
        } else if (moving) {
            ++row.moving;
        }
    };

    count(pool->second.row);
    count(m_services[pool->second.service]);
    m_hosts[host.name] = {poolName, condition == host_health::healthy && !moving && !drains.covers(host)};
}

void availability_budget::addReserves(double hostUnavailability)
{
    std::map<std::string, double> objectives;
    for (const auto &[name, pool] : m_pools) {
        double &objective = objectives[pool.service];
        objective = std::max(objective, pool.objective);
    }
    for (auto &[name, service] : m_services) {
        service.reserve = reserveFor(service.hosts, objectives[name], hostUnavailability);
    }
}

std::vector<budget_row> availability_budget::services() const
{
    std::vector<budget_row> rows;
    rows.reserve(m_services.size());
    for (const auto &[name, row] : m_services) {
        rows.push_back(row);
    }
    return rows;
}

const budget_row *availability_budget::pool(const std::string &name) const
{
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? nullptr : &found->second.row;
}

std::int64_t availability_budget::disruptionsAllowed(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : std::min(found->second.row.disruptionsAllowed(), m_services.at(found->second.service).disruptionsAllowed());
}

bool availability_budget::tryCharge(const std::string &pool)
{
    if (disruptionsAllowed(pool) <= 0) {
        return false;
    }

    pool_entry &entry = m_pools.at(pool);
    ++entry.row.draining;
    ++m_services.at(entry.service).draining;
    return true;
}

bool availability_budget::tryChargeHost(const std::string &host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return false;
    }
    if (!found->second.available) {
        return true;
    }

    found->second.available = !tryCharge(found->second.pool);
    return !found->second.available;
}

bool availability_budget::isAvailable(const std::string &host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && found->second.available;
}

std::string availability_budget::poolOf(const std::string &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? std::string{} : found->second.pool;
}

std::int64_t availability_budget::reserveFor(std::int64_t hosts, double objective, double hostUnavailability)
{
    double probability = std::pow(1 - hostUnavailability, static_cast<double>(hosts));
    double cumulative = probability;
    std::int64_t reserve = 0;
    while (reserve < hosts && cumulative < objective) {
        probability *= static_cast<double>(hosts - reserve) / static_cast<double>(reserve + 1) * hostUnavailability / (1 - hostUnavailability);
        cumulative += probability;
        ++reserve;
    }
    return reserve;
}

} // namespace parsleyglade
