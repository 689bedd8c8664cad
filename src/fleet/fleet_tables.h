#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** The part of a published pool's configuration that fleet decisions use. */
struct fleet_pool
{
    std::string name;
    std::string service;
    bool isSpare = false; /**< Whether the pool lends its hosts to other pools. */
    double availabilityObjective = 0.995; /**< Fraction of time, 0 to 1. */
    std::size_t minimumHosts = 0; /**< Hosts that planned work must leave available. */
    std::size_t slotsPerHost = 8; /**< Jobs that a host runs at the same time. */
};

/** A published host and its location. */
struct fleet_host
{
    std::string name;
    std::string pool; /**< Home pool, to which the host returns after it was lent to another pool. */
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
