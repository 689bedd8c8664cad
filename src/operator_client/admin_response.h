#pragma once

#include <string>

namespace parsleyglade {

/** Response of the admin interface: HTTP status code and body. */
struct admin_response
{
    int status = 0;
    std::string body;
};

} // namespace parsleyglade
