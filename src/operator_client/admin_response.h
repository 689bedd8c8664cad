#pragma once

#include <string>

namespace parsleyglade {

/** Answer of the admin interface. */
struct admin_response
{
    int status = 0;
    std::string body;
};

} // namespace parsleyglade
