#pragma once

#include "core/identifiers.h"

#include <string>

namespace parsleyglade {

/** A record of the configuration stream with its offset, as it is handed to a peer. */
struct configuration_record_copy
{
    log_offset offset = 0;
    std::string bytes;

    friend bool operator==(const configuration_record_copy &, const configuration_record_copy &) = default;
};

} // namespace parsleyglade
