#include "tables/joined_tables.h"

#include "core/digest.h"
#include "core/json_checker.h"

#include <cassert>
#include <map>
#include <set>

namespace parsleyglade {

namespace {

/** Checks the constraints between entries and collects the failures. Their JSON pointers use the indices of the given vectors. */
class join_check
{
public:
    const std::vector<failure> &failures() const
    {
        return m_failures;
    }

    void checkPools(const std::vector<pool> &pools)
    {
        for (std::size_t index = 0; index < pools.size(); ++index) {
            const pool &each = pools[index];
            const std::string pointer = "/pools/" + std::to_string(index);
            if (!m_pools.insert(each.name).second) {
                add(result_code::duplicate_name, "the pool \"" + each.name + "\" is listed twice", pointer + "/name");
            }
            if (each.minimumHosts > static_cast<std::int64_t>(each.hosts.size())) {
                add(result_code::out_of_range, "minimumHosts exceeds the number of hosts, " + std::to_string(each.hosts.size()), pointer + "/minimumHosts");
            }
            for (std::size_t hostIndex = 0; hostIndex < each.hosts.size(); ++hostIndex) {
                checkHost(each.hosts[hostIndex], index, pointer + "/hosts/" + std::to_string(hostIndex));
            }
        }
    }

    void checkRoutes(const std::vector<route> &routes)
    {
        std::set<std::string_view> names;
        std::set<std::pair<std::string_view, std::string_view>> paths;
        for (std::size_t index = 0; index < routes.size(); ++index) {
            const route &each = routes[index];
            const std::string pointer = "/routes/" + std::to_string(index);
            if (!names.insert(each.name).second) {
                add(result_code::duplicate_name, "the route \"" + each.name + "\" is listed twice", pointer + "/name");
            }
            if (!paths.emplace(each.method, each.path).second) {
                add(result_code::duplicate_name, "another route is defined for " + each.method + " " + each.path, pointer + "/path");
            }
            if (m_pools.count(each.pool) == 0) {
                add(result_code::unknown_pool, "the pool \"" + each.pool + "\" is not in the pools table", pointer + "/pool");
            }
        }
    }

private:
    void add(result_code code, std::string reason, std::string pointer)
    {
        if (m_failures.size() < json_checker::maximumFailures) {
            m_failures.push_back({code, std::move(reason), std::move(pointer)});
        }
    }

    void checkHost(const pool_host &host, std::size_t poolIndex, const std::string &pointer)
    {
        const auto [known, isNew] = m_hosts.emplace(host.host, poolIndex);
        if (!isNew && known->second == poolIndex) {
            add(result_code::duplicate_name, "the host \"" + host.host + "\" is listed twice in its pool", pointer + "/host");
        } else if (!isNew) {
            add(result_code::host_in_two_pools, "the host \"" + host.host + "\" is also in /pools/" + std::to_string(known->second), pointer + "/host");
        }

        const auto [owner, isNewAddress] = m_addresses.emplace(host.address, host.host);
        if (!isNewAddress) {
            add(result_code::duplicate_address, "the host \"" + std::string(owner->second) + "\" has the same address", pointer + "/address");
        }

        // A drain identifies a rack by its name only, so all hosts of a rack must be in the same data centre.
        const auto [rack, isNewRack] = m_racks.emplace(host.rack, host.dataCentre);
        if (!isNewRack && rack->second != host.dataCentre) {
            add(result_code::invalid_value, "the rack \"" + host.rack + "\" is also in data centre \"" + std::string(rack->second) + "\"", pointer + "/rack");
        }
    }

    std::vector<failure> m_failures;
    std::set<std::string_view> m_pools;
    std::map<std::string_view, std::size_t> m_hosts;
    std::map<std::string_view, std::string_view> m_addresses;
    std::map<std::string_view, std::string_view> m_racks;
};

} // namespace

tables::tables(std::vector<route> routes, std::vector<pool> pools)
    : m_routes(std::move(routes))
    , m_pools(std::move(pools))
{
}

outcome<tables> tables::join(std::vector<route> routes, std::vector<pool> pools)
{
    join_check check;
    check.checkPools(pools);
    check.checkRoutes(routes);
    if (!check.failures().empty()) {
        return check.failures();
    }
    return tables(std::move(routes), std::move(pools));
}

const route_table &tables::routes() const
{
    return m_routes;
}

const pool_table &tables::pools() const
{
    return m_pools;
}

const route *tables::findRoute(std::string_view method, std::string_view path) const
{
    return m_routes.findRoute(method, path);
}

const pool &tables::poolOf(const route &value) const
{
    const pool *found = m_pools.findPool(value.pool);
    assert(found != nullptr);
    return *found;
}

std::string tables::digest() const
{
    return sha256(m_routes.canonicalJson() + '\n' + m_pools.canonicalJson());
}

} // namespace parsleyglade
