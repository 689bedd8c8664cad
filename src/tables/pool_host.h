#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace parsleyglade {

/** One host of a pool: its location and the address of its endpoint. */
struct pool_host
{
    std::string host;
    std::string dataCentre;
    std::string rack;
    std::string address; /**< IPv4 address and port, separated by a colon. */

    friend bool operator==(const pool_host &, const pool_host &) = default;
};

/** Returns the host as an object of the pools table. */
nlohmann::json toJson(const pool_host &value);

} // namespace parsleyglade
