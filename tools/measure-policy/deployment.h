#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyglade {

/** One pool of a modelled deployment. */
struct pool_model
{
    std::string name;
    double shortRunSeconds = 0.2; /**< Mean run time of its short jobs. */
    std::vector<std::size_t> endpointsByDataCentre;
    bool isSpare = false;

    std::size_t endpointCount() const;
};

/** The fixed part of a modelled deployment. */
struct deployment
{
    std::string name;
    std::vector<std::size_t> entryHostsByDataCentre;
    std::vector<pool_model> pools;
    duration dataCentreLatency{}; /**< One way, between data centres. */
    std::size_t burstGroupSize = 5; /**< Pools that burst in turn. */

    std::size_t endpointCount() const;
};

/** Hưng Phát: five pools of 8 to 12 endpoints in four data centres, seven entry hosts. */
deployment hungPhat();

/** Austral Pistas: five pools of 8 to 12 endpoints in four data centres, six entry hosts. */
deployment australPistas();

/** The two-year size: 890 workers in 164 pools and nine data centres, three entry hosts in each. */
deployment twoYearSize();

/** A deployment of the given size, for the timing of decisions. Each pool is spread over two neighbouring data centres. */
deployment scaledDeployment(std::string name, std::size_t workers, std::size_t pools, std::size_t dataCentres, std::size_t entryHostsPerDataCentre);

} // namespace parsleyglade
