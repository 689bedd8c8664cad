#pragma once

#include "reports/service_burn.h"
#include "reports/service_counts.h"

namespace parsleyglade {

/** Maximum number of coincidences that are reported for a service. */
constexpr std::size_t maximumCoincidences = 8;

/**
 * Sums the counts of a service over entry hosts, and computes its burn rates, alert and coincidences.
 *
 * @param parts counts of the service, one for each process of an entry host
 * @param objective required share of good jobs; not set for a service without an objective
 * @param plannedChanges without duplicates
 * @param now end of the windows
 * @see service_burn for the formulas
 */
service_burn summariseService(const std::string &service, const std::vector<const service_counts *> &parts, std::optional<double> objective,
                              const std::vector<planned_change> &plannedChanges, wall_time now);

} // namespace parsleyglade
