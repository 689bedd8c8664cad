#pragma once

#include "core/identifiers.h"

#include <string>

namespace parsleyglade {

/** Settings of one caller that may submit jobs. */
struct caller_settings
{
    std::string name;
    std::string tokenSha256; /**< SHA-256 of the bearer token, in lower-case hexadecimal. */
    std::string team;
    double share = 1.0; /**< Weight relative to other callers when a pool's queue is contended. */

    /** Identifier of the caller in records and queues: the 64-bit hash of its name. */
    caller_id id() const;
};

} // namespace parsleyglade
