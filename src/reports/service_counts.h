#pragma once

#include "reports/burn_window.h"
#include "reports/count_bucket.h"
#include "reports/latency_class.h"
#include "reports/latency_quantiles.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** The counts and latencies of a service at one entry host. */
struct service_counts
{
    std::string service;
    std::optional<double> objective; /**< Share of good jobs that the configuration requires; not set for a service without an objective. */
    std::array<std::vector<count_bucket>, burnWindowCount> windows; /**< By burn_window: buckets with ended jobs, oldest first. */
    std::array<latency_quantiles, latencyClassCount> latencies; /**< In the order of latency_class. */

    friend bool operator==(const service_counts &, const service_counts &) = default;
};

} // namespace parsleyglade
