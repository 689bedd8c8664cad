#pragma once

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Host counts of one pool or service. Each host is counted in the first of down, suspect, draining and moving that applies to it. */
struct budget_row
{
    std::string name;
    std::int64_t hosts = 0; /**< All hosts, available or not. */
    std::int64_t down = 0;
    std::int64_t suspect = 0;
    std::int64_t draining = 0;
    std::int64_t moving = 0;
    std::int64_t minimum = 0; /**< Hosts that must stay available. */
    std::int64_t reserve = 0; /**< Hosts kept in reserve for unplanned failures; 0 for pools, which have no reserve of their own. */

    /** Hosts that are in none of the four conditions. */
    std::int64_t available() const
    {
        return hosts - down - suspect - draining - moving;
    }

    /** Number of further hosts that may become unavailable; negative if too many are unavailable already. */
    std::int64_t disruptionsAllowed() const
    {
        return available() - minimum - reserve;
    }
};

} // namespace parsleyglade
