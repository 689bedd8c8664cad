#pragma once

#include "tables/urgency.h"
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace parsleyglade {

/** One entry of the routes table: the pool that runs the requests with a method and path, and the limits of these jobs. */
struct route
{
    std::string name;
    std::string method; /**< GET, POST, PUT, PATCH or DELETE. */
    std::string path; /**< Compared with the complete path of a request; not a prefix. */
    std::string pool;
    bool idempotent = false; /**< Whether a request may be executed more than once. */
    parsleyglade::urgency urgency = parsleyglade::urgency::normal;
    std::int64_t deadlineMilliseconds = 0; /**< Measured from the receipt of the request. */
    std::int64_t declaredRunMilliseconds = 0; /**< Estimate of the run time that is used until run times have been observed. */
    std::int64_t maximumBodyBytes = 0;
    std::string team;
    bool cancellable = false; /**< Whether the endpoint may be asked to stop a running job. */

    friend bool operator==(const route &, const route &) = default;
};

/** Returns the route as an object of the routes table. */
nlohmann::json toJson(const route &value);

} // namespace parsleyglade
