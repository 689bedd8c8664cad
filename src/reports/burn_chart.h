#pragma once

#include "reports/service_burn.h"

#include <string>

namespace parsleyglade {

/**
 * An inline SVG chart of a service's burn rate in each bucket of a window, stacked by cause, with numbered marks for the service's
 * coincidences. Without an objective it shows the share of ends that were not good, in percent. The page gives the colours through the
 * classes of end causes and the classes axis, limit and mark.
 */
std::string renderBurnChart(const service_burn &service, burn_window window, wall_time now);

} // namespace parsleyglade
