#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace parsleyglade {

/** One request of the admin interface. */
struct admin_request
{
    std::string method; /**< GET, POST or DELETE. */
    std::string path; /**< With the query. */
    nlohmann::json body; /**< Null for no body. */

    /** Whether the request changes anything, so that a lost answer leaves its result open. */
    bool changesState() const
    {
        return method != "GET";
    }
};

} // namespace parsleyglade
