#pragma once

#include "tables/route.h"

#include <string_view>
#include <vector>

namespace parsleyglade {

/**
 * The routes of one configuration, ordered by name, with an index by path and method.
 *
 * Does not change after construction. Lookups take logarithmic time. @pre names are unique, and so are pairs of method and path
 */
class route_table
{
public:
    route_table();
    explicit route_table(std::vector<route> routes);

    /** Returns all routes, ordered by name. */
    const std::vector<route> &routes() const;

    /** Returns the route with the name, or nullptr. Owned by the table. */
    const route *findByName(std::string_view name) const;

    /** Returns the route for requests with the method and path, or nullptr. Owned by the table. */
    const route *findRoute(std::string_view method, std::string_view path) const;

    /** Whether a route of any method has the path. Distinguishes a wrong method from an unknown path. */
    bool hasPath(std::string_view path) const;

    /** Returns the canonical JSON: routes ordered by name, sorted keys, no spaces. Equal tables have equal text. */
    const std::string &canonicalJson() const;

    friend bool operator==(const route_table &, const route_table &) = default;

private:
    std::vector<route> m_routes;
    std::string m_canonicalJson;
    std::vector<std::size_t> m_byPath; /**< Positions in m_routes, ordered by path and then method. */
};

} // namespace parsleyglade
