#pragma once

#include "tables/pool_host.h"

#include <cstdint>
#include <vector>

namespace parsleyglade {

/** One entry of the pools table: a service, the hosts that run it, their capacity and the availability target. */
struct pool
{
    std::string name;
    std::string service;
    std::string region;
    bool spare = false; /**< Whether its hosts may be lent to other pools. */
    double availabilityObjective = 0.0; /**< Fraction of the requests that must succeed. */
    std::int64_t minimumHosts = 0; /**< Number of healthy hosts that must remain in service during maintenance. */
    std::int64_t slotsPerHost = 0; /**< Jobs that a host runs at the same time, from all entry hosts together. */
    std::int64_t connectionsPerHost = 0; /**< Maximum number of jobs that one entry host may have in flight to a host. */
    double longJobSlotShare = 0.0; /**< Fraction of a host's slots that long jobs may occupy. */
    std::string team;
    std::vector<pool_host> hosts;

    friend bool operator==(const pool &, const pool &) = default;
};

/** Returns the pool as an object of the pools table, with its hosts in the order in which they are stored. */
nlohmann::json toJson(const pool &value);

} // namespace parsleyglade
