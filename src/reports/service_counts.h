#pragma once

#include "reports/burn_window.h"
#include "reports/count_bucket.h"
#include "reports/latency_class.h"
#include "reports/latency_quantiles.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** What one entry host counted for a service. */
struct service_counts
{
    std::string service;
    std::optional<double> objective; /**< Share of good ends that the tables ask for; nothing for a service that they do not name. */
    std::array<std::vector<count_bucket>, burnWindowCount> windows; /**< Buckets with ends, oldest first. */
    std::array<latency_quantiles, latencyClassCount> latencies;

    friend bool operator==(const service_counts &, const service_counts &) = default;
};

} // namespace parsleyglade
