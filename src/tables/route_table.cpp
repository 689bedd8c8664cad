#include "tables/route_table.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace parsleyglade {

namespace {

std::tuple<std::string_view, std::string_view> pathAndMethod(const route &value)
{
    return {value.path, value.method};
}

std::string serialize(const std::vector<route> &routes)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const route &each : routes) {
        entries.push_back(toJson(each));
    }
    return nlohmann::json{{"routes", std::move(entries)}}.dump();
}

} // namespace

route_table::route_table()
    : route_table(std::vector<route>())
{
}

route_table::route_table(std::vector<route> routes)
    : m_routes(std::move(routes))
    , m_byPath(m_routes.size())
{
    std::sort(m_routes.begin(), m_routes.end(), [](const route &left, const route &right) { return left.name < right.name; });
    std::iota(m_byPath.begin(), m_byPath.end(), std::size_t{0});
    std::sort(m_byPath.begin(), m_byPath.end(),
              [this](std::size_t left, std::size_t right) { return pathAndMethod(m_routes[left]) < pathAndMethod(m_routes[right]); });
    m_canonicalJson = serialize(m_routes);
}

const std::vector<route> &route_table::routes() const
{
    return m_routes;
}

const route *route_table::findByName(std::string_view name) const
{
    const auto found = std::lower_bound(m_routes.begin(), m_routes.end(), name, [](const route &each, std::string_view wanted) { return each.name < wanted; });
    return found != m_routes.end() && found->name == name ? &*found : nullptr;
}

const route *route_table::findRoute(std::string_view method, std::string_view path) const
{
    const std::tuple<std::string_view, std::string_view> wanted{path, method};
    const auto found = std::lower_bound(m_byPath.begin(), m_byPath.end(), wanted,
                                        [this](std::size_t index, const auto &key) { return pathAndMethod(m_routes[index]) < key; });
    return found != m_byPath.end() && pathAndMethod(m_routes[*found]) == wanted ? &m_routes[*found] : nullptr;
}

bool route_table::hasPath(std::string_view path) const
{
    const auto found = std::lower_bound(m_byPath.begin(), m_byPath.end(), path,
                                        [this](std::size_t index, std::string_view wanted) { return m_routes[index].path < wanted; });
    return found != m_byPath.end() && m_routes[*found].path == path;
}

const std::string &route_table::canonicalJson() const
{
    return m_canonicalJson;
}

} // namespace parsleyglade
