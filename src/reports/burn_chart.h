#pragma once

#include "reports/service_burn.h"

#include <string>

namespace parsleyglade {

/**
 * Renders a service's burn rate in each bucket of a window as an inline SVG bar chart, stacked by cause, with numbered marks for the
 * service's coincidences. Without an objective, the chart shows the percentage of ended jobs that were not good. The style sheet of the
 * page sets the colours through CSS classes: the names of the causes, axis, grid, limit and mark.
 *
 * @param now end of the window
 * @see htmlStyle
 */
std::string renderBurnChart(const service_burn &service, burn_window window, wall_time now);

} // namespace parsleyglade
