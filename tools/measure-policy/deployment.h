#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyglade {

/** Pool of a simulated deployment. */
struct pool_model
{
    std::string name;
    double shortRunSeconds = 0.2; /**< Mean run time of its short jobs in seconds. */
    std::vector<std::size_t> endpointsByDataCentre;
    bool isSpare = false; /**< Whether the pool lends its hosts to other pools. */

    std::size_t endpointCount() const;
};

/** Simulated deployment: the part of a run that doesn't depend on the workload settings. */
struct deployment
{
    std::string name;
    std::vector<std::size_t> entryHostsByDataCentre;
    std::vector<pool_model> pools;
    duration dataCentreLatency{}; /**< One-way network latency between data centres. */
    std::size_t burstGroupSize = 5; /**< Number of pools that have bursts in turn; larger deployments have several such groups. */

    std::size_t endpointCount() const;
};

/** Returns Hưng Phát: five pools of 8 to 12 endpoints in four data centres, seven entry hosts. */
deployment hungPhat();

/** Returns Austral Pistas: five pools of 8 to 12 endpoints in four data centres, six entry hosts. */
deployment australPistas();

/** Returns a deployment of the size expected in two years: 890 workers in 164 pools and nine data centres, three entry hosts in each. */
deployment twoYearSize();

/** Returns a deployment of the given size. The endpoints of each pool are divided between two neighbouring data centres. */
deployment scaledDeployment(std::string name, std::size_t workers, std::size_t pools, std::size_t dataCentres, std::size_t entryHostsPerDataCentre);

} // namespace parsleyglade
