#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace parsleyglade {

/** A request to the admin interface of an entry host. */
struct admin_request
{
    std::string method; /**< GET, POST or DELETE. */
    std::string path; /**< Absolute path, with the query if there is one. */
    nlohmann::json body; /**< JSON body; null sends no body. */

    /** Returns true if the request may change state, so that its result is unknown when the response is lost. */
    bool changesState() const
    {
        return method != "GET";
    }
};

} // namespace parsleyglade
