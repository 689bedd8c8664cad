#pragma once

#include "reports/metric.h"

namespace parsleyglade {

/** Content-Type of the metrics page. */
inline constexpr const char *metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/**
 * The metrics in the text exposition format, version 0.0.4, in the order given. Characters that names may not have become underscores.
 * A metric without samples and a further metric of the same name are left out, as the format allows each name once.
 */
std::string renderMetrics(const std::vector<metric> &metrics);

} // namespace parsleyglade
