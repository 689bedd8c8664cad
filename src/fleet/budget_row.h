#pragma once

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Hosts of one pool or service by condition. A host counts once, in the first condition that holds in the order of the fields. */
struct budget_row
{
    std::string name;
    std::int64_t hosts = 0;
    std::int64_t down = 0;
    std::int64_t suspect = 0;
    std::int64_t draining = 0;
    std::int64_t moving = 0;
    std::int64_t minimum = 0; /**< Hosts that must stay available. */
    std::int64_t reserve = 0; /**< Hosts held back for failures; only services have it. */

    std::int64_t available() const
    {
        return hosts - down - suspect - draining - moving;
    }

    /** How many more hosts may go; negative when too many are gone already. */
    std::int64_t disruptionsAllowed() const
    {
        return available() - minimum - reserve;
    }
};

} // namespace parsleyglade
