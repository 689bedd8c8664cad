#pragma once

#include <cstdint>
#include <string>

namespace parsleyglade {

/** The newest registration of an entry host. */
struct entry_registration
{
    std::int64_t registrationCount = 0; /**< Accepted registrations of this entry host; the record of the next one must state this number. */
    std::int64_t incarnation = 0;
    std::string dataCentre;
    std::string region;
    bool active = false; /**< False after the incarnation has been retired. */

    friend bool operator==(const entry_registration &, const entry_registration &) = default;
};

} // namespace parsleyglade
