#pragma once

#include "core/identifiers.h"

#include <string>

namespace parsleyglade {

/** An encoded record of the configuration stream and its offset, as sent to peers. */
struct configuration_record_copy
{
    log_offset offset = 0;
    std::string bytes;

    friend bool operator==(const configuration_record_copy &, const configuration_record_copy &) = default;
};

} // namespace parsleyglade
