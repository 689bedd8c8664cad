#pragma once

#include <cstdint>
#include <string>

namespace parsleyglade {

/** The latest registration of an entry host. */
struct entry_registration
{
    std::int64_t number = 0; /**< Accepted registrations of this entry host so far; the next one must name it. */
    std::int64_t incarnation = 0;
    std::string dataCentre;
    std::string region;
    bool active = false; /**< False once the incarnation is retired. */

    friend bool operator==(const entry_registration &, const entry_registration &) = default;
};

} // namespace parsleyglade
