#pragma once

#include "fleet/fleet.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** One of the two deployments of section 1 of the design, or a fleet of a given size. */
struct deployment
{
    std::string name;
    fleet_tables tables;
    std::vector<std::string> entryHostDataCentres; /**< Data centre of each entry host. */
    duration logDelay{}; /**< From the decision to append until every entry host that reads the log has folded the record. */
};

/** hung-phat or austral-pistas: 40 hosts in four services and 10 in the spare pool. */
deployment makeDeployment(const std::string &name);

/** A fleet of the given size without a spare pool, for plans and maintenance cycles. Pools keep 60 % of their hosts. */
deployment makeFleet(std::size_t hosts, std::size_t pools);

} // namespace parsleyglade
