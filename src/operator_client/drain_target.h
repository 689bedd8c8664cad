#pragma once

#include <string>

namespace parsleyglade {

/** What a drain command names. */
struct drain_target
{
    std::string kind; /**< "host", "rack" or "data-centre". */
    std::string subject;
};

} // namespace parsleyglade
