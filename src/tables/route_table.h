#pragma once

#include "tables/route.h"

#include <string_view>
#include <vector>

namespace parsleyglade {

/** The routes of a configuration, ordered by name. @pre names are unique, and so are pairs of method and path */
class route_table
{
public:
    route_table();
    explicit route_table(std::vector<route> routes);

    /** Every route in order of name. */
    const std::vector<route> &routes() const;

    /** The route with a name, or nullptr. Owned by the table. */
    const route *findByName(std::string_view name) const;

    /** The route that takes requests with the method and path, or nullptr. Owned by the table. */
    const route *findRoute(std::string_view method, std::string_view path) const;

    /** Whether a route of any method has the path; tells a wrong method from an unknown path. */
    bool hasPath(std::string_view path) const;

    /** Canonical JSON: entries by name, keys sorted, no spaces. Equal tables give equal text. */
    const std::string &canonicalJson() const;

    friend bool operator==(const route_table &, const route_table &) = default;

private:
    std::vector<route> m_routes;
    std::string m_canonicalJson;
    std::vector<std::size_t> m_byPath; /**< Positions in m_routes, ordered by path and then method. */
};

} // namespace parsleyglade
