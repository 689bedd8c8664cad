#pragma once

#include "reports/service_burn.h"
#include "reports/service_counts.h"

namespace parsleyglade {

/** Most coincidences that are named for a service. */
constexpr std::size_t maximumCoincidences = 8;

/**
 * Adds up what entry hosts counted for a service.
 *
 * @param notes planned changes, each event once
 * @see service_burn for the formulas
 */
service_burn summariseService(const std::string &service, const std::vector<const service_counts *> &parts, std::optional<double> objective,
                              const std::vector<planned_change> &plannedChanges, wall_time now);

} // namespace parsleyglade
