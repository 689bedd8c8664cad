#pragma once

#include <string>

namespace parsleyglade {

/** What a drain or undrain command applies to. */
struct drain_target
{
    std::string kind; /**< "host", "rack" or "data-centre". */
    std::string subject; /**< Name of the host, rack or data centre. */
};

} // namespace parsleyglade
