#pragma once

#include "tables/urgency.h"
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace parsleyglade {

/** One entry of the routes table: which requests become jobs of which pool, and with what limits. */
struct route
{
    std::string name;
    std::string method; /**< GET, POST, PUT, PATCH or DELETE. */
    std::string path; /**< Matched as a whole. */
    std::string pool;
    bool idempotent = false;
    parsleyglade::urgency urgency = parsleyglade::urgency::normal;
    std::int64_t deadlineMilliseconds = 0; /**< From the arrival of the request. */
    std::int64_t declaredRunMilliseconds = 0; /**< First guess of the run time. */
    std::int64_t maximumBodyBytes = 0;
    std::string team;
    bool cancellable = false; /**< Whether the endpoint may be asked to stop a running job. */

    friend bool operator==(const route &, const route &) = default;
};

/** The route as an object of the routes table. */
nlohmann::json toJson(const route &value);

} // namespace parsleyglade
