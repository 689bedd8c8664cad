#pragma once

#include "tables/pool.h"

#include <string_view>

namespace parsleyglade {

/** The pools of a configuration, ordered by name, and their hosts by host name. @pre pool names and host names are unique */
class pool_table
{
public:
    pool_table();
    explicit pool_table(std::vector<pool> pools);

    /** Every pool in order of name. */
    const std::vector<pool> &pools() const;

    /** The pool with a name, or nullptr. Owned by the table. */
    const pool *findPool(std::string_view name) const;

    /** The pool that lists a host, or nullptr. Owned by the table. */
    const pool *poolOfHost(std::string_view host) const;

    /** The entry of a host, or nullptr. Owned by the table. */
    const pool_host *findHost(std::string_view host) const;

    /** Number of hosts of all pools. */
    std::size_t hostCount() const;

    /** Canonical JSON: entries by name, hosts by host name, keys sorted, no spaces. Equal tables give equal text. */
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
