#pragma once

#include "core/result_code.h"

#include <string>

namespace parsleyglade {

/** Reason why an operation was rejected or failed. */
struct failure
{
    result_code code = result_code::internal_error;
    std::string reason; /**< One short, human-readable sentence. */
    std::string pointer; /**< JSON pointer of the offending value; empty if there is none. */

    friend bool operator==(const failure &, const failure &) = default;
};

} // namespace parsleyglade
