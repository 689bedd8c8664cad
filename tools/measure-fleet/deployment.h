#pragma once

#include "fleet/fleet.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** Simulated deployment: one of the two that section 1 of docs/design.md describes, or a fleet of a given size. */
struct deployment
{
    std::string name; /**< Names the deployment in reports. */
    fleet_tables tables;
    std::vector<std::string> entryHostDataCentres; /**< Data centre of each entry host. */
    duration logDelay{}; /**< Time from the decision to append a record until every entry host that reads the log has applied it to its fold. */
};

/** Returns the deployment hung-phat or austral-pistas: 40 hosts in four services and 10 in the spare pool, which is the last pool. */
deployment makeDeployment(const std::string &name);

/** Returns a fleet without a spare pool, for plans and maintenance cycles. The minimum of each pool is 60 % of its hosts, rounded down. */
deployment makeFleet(std::size_t hosts, std::size_t pools);

} // namespace parsleyglade
