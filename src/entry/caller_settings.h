#pragma once

#include "core/identifiers.h"

#include <string>

namespace parsleyglade {

/** A caller that may send jobs. */
struct caller_settings
{
    std::string name;
    std::string tokenSha256; /**< SHA-256 of the bearer token, in lower-case hexadecimal. */
    std::string team;
    double share = 1.0; /**< Weight against other callers when a pool's queue is contended. */

    /** Hash of the name, by which records and queues know the caller. */
    caller_id id() const;
};

} // namespace parsleyglade
