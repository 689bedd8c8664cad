#pragma once

#include "core/outcome.h"
#include "tables/pool_table.h"
#include "tables/route_table.h"

namespace parsleyglade {

/** Both operator tables, checked against each other. Empty when default-constructed. @see parseTables */
class tables
{
public:
    tables() = default;

    /**
     * Joins the entries by pool name. Fails with duplicate_name, duplicate_address, host_in_two_pools, unknown_pool, out_of_range and
     * invalid_value, all at once, with pointers into the given order.
     */
    static outcome<tables> join(std::vector<route> routes, std::vector<pool> pools);

    const route_table &routes() const;
    const pool_table &pools() const;

    /** The route for the method and path, or nullptr. Owned by the tables. */
    const route *findRoute(std::string_view method, std::string_view path) const;

    /** The pool of a route of these tables. */
    const pool &poolOf(const route &value) const;

    /** SHA-256 over the canonical JSON of both tables, 32 bytes. */
    std::string digest() const;

    friend bool operator==(const tables &, const tables &) = default;

private:
    tables(std::vector<route> routes, std::vector<pool> pools);

    route_table m_routes;
    pool_table m_pools;
};

} // namespace parsleyglade
