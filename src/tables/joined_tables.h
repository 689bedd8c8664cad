#pragma once

#include "core/outcome.h"
#include "tables/pool_table.h"
#include "tables/route_table.h"

namespace parsleyglade {

/**
 * The routes and pools tables of one configuration, checked against each other. They do not change after construction.
 *
 * A default-constructed object has no entries. Returned pointers and references are owned by the object. @see parseTables
 */
class tables
{
public:
    tables() = default;

    /**
     * Checks the constraints between entries and joins the routes to their pools by pool name.
     *
     * Reports all violations together, up to json_checker::maximumFailures, as duplicate_name, duplicate_address, host_in_two_pools,
     * unknown_pool, out_of_range or invalid_value. The JSON pointers of the failures use the indices of the given vectors.
     */
    static outcome<tables> join(std::vector<route> routes, std::vector<pool> pools);

    const route_table &routes() const;
    const pool_table &pools() const;

    /** Returns the route for a method and path, or nullptr. Owned by the tables. */
    const route *findRoute(std::string_view method, std::string_view path) const;

    /** Returns the pool of a route. @pre the route belongs to these tables */
    const pool &poolOf(const route &value) const;

    /** Returns the SHA-256 digest of the canonical JSON of both tables, 32 bytes. */
    std::string digest() const;

    friend bool operator==(const tables &, const tables &) = default;

private:
    tables(std::vector<route> routes, std::vector<pool> pools);

    route_table m_routes;
    pool_table m_pools;
};

} // namespace parsleyglade
