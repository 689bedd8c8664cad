#pragma once

#include "core/result_code.h"

#include <string>

namespace parsleyglade {

/** Why something was refused or failed. */
struct failure
{
    result_code code = result_code::internal_error;
    std::string reason; /**< One short sentence for people. */
    std::string pointer; /**< JSON pointer of the offending value; empty when none applies. */

    friend bool operator==(const failure &, const failure &) = default;
};

} // namespace parsleyglade
