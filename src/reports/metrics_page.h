#pragma once

#include "reports/metric.h"

namespace parsleyglade {

/** Content-Type of the metrics page. */
inline constexpr const char *metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/**
 * Renders metrics in the Prometheus text exposition format, version 0.0.4, in the given order. Characters that are not allowed in names are
 * replaced by underscores. Metrics without samples are omitted, and so are later metrics with the name of an earlier one, as the format allows
 * each name only once.
 */
std::string renderMetrics(const std::vector<metric> &metrics);

} // namespace parsleyglade
