#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace parsleyglade {

/** One endpoint of a pool and where it is. */
struct pool_host
{
    std::string host;
    std::string dataCentre;
    std::string rack;
    std::string address; /**< IPv4 number and port. */

    friend bool operator==(const pool_host &, const pool_host &) = default;
};

/** The host as an object of the pools table. */
nlohmann::json toJson(const pool_host &value);

} // namespace parsleyglade
