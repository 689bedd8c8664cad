#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** A published pool, as fleet decisions see it. */
struct fleet_pool
{
    std::string name;
    std::string service;
    bool isSpare = false; /**< Lends hosts to other pools. */
    double availabilityObjective = 0.995; /**< Share, 0 to 1. */
    std::size_t minimumHosts = 0;
    std::size_t slotsPerHost = 8;
};

/** A published host. */
struct fleet_host
{
    std::string name;
    std::string pool; /**< The pool that it returns to when it is not lent. */
    std::string region;
    std::string dataCentre;
    std::string rack;
};

/** The published pools and hosts. */
struct fleet_tables
{
    std::vector<fleet_pool> pools;
    std::vector<fleet_host> hosts;
};

} // namespace parsleyglade
