#pragma once

#include <string>

namespace parsleyglade {

/** Answer of the admin interface. */
struct http_answer
{
    int status = 0;
    std::string body;
};

} // namespace parsleyglade
