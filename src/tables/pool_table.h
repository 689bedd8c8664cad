#pragma once

#include "tables/pool.h"

#include <string_view>

namespace parsleyglade {

/**
 * The pools of one configuration, ordered by name, with an index of their hosts by host name.
 *
 * Does not change after construction. Lookups take logarithmic time. @pre pool names and host names are unique
 */
class pool_table
{
public:
    pool_table();
    explicit pool_table(std::vector<pool> pools);

    /** Returns all pools, ordered by name. */
    const std::vector<pool> &pools() const;

    /** Returns the pool with the name, or nullptr. Owned by the table. */
    const pool *findPool(std::string_view name) const;

    /** Returns the pool that contains the host, or nullptr. Owned by the table. */
    const pool *poolOfHost(std::string_view host) const;

    /** Returns the entry of the host, or nullptr. Owned by the table. */
    const pool_host *findHost(std::string_view host) const;

    /** Returns the number of hosts in all pools together. */
    std::size_t hostCount() const;

    /** Returns the canonical JSON: pools ordered by name, hosts by host name, sorted keys, no spaces. Equal tables have equal text. */
    const std::string &canonicalJson() const;

    friend bool operator==(const pool_table &, const pool_table &) = default;

private:
    struct position
    {
        std::size_t pool = 0;
        std::size_t host = 0;

        friend bool operator==(const position &, const position &) = default;
    };

    const pool_host &hostAt(position place) const;
    const position *findPosition(std::string_view host) const;

    std::vector<pool> m_pools;
    std::string m_canonicalJson;
    std::vector<position> m_byHost; /**< Ordered by host name. */
};

} // namespace parsleyglade
