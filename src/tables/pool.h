#pragma once

#include "tables/pool_host.h"

#include <cstdint>
#include <vector>

namespace parsleyglade {

/** One entry of the pools table: the hosts behind a service, and what the service is owed. */
struct pool
{
    std::string name;
    std::string service;
    std::string region;
    bool spare = false; /**< Whether its hosts are lent to other pools. */
    double availabilityObjective = 0.0; /**< Share of requests that must succeed. */
    std::int64_t minimumHosts = 0; /**< Healthy hosts that maintenance leaves in place. */
    std::int64_t slotsPerHost = 0;
    std::int64_t connectionsPerHost = 0;
    double longJobSlotShare = 0.0; /**< Share of a host's slots that long jobs may take. */
    std::string team;
    std::vector<pool_host> hosts;

    friend bool operator==(const pool &, const pool &) = default;
};

/** The pool as an object of the pools table, with its hosts in their order. */
nlohmann::json toJson(const pool &value);

} // namespace parsleyglade
