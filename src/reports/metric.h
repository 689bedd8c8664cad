#pragma once

#include "reports/latency_quantiles.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace parsleyglade {

/** A value that never decreases while the process runs. */
struct counter_value
{
    double value = 0;
};

/** A value that can increase and decrease. */
struct gauge_value
{
    double value = 0;
};

/** Quantiles of observed values, with their count and sum. */
struct summary_value
{
    std::map<double, double> quantiles; /**< Value by probability; a probability is a number such as 0.99. */
    std::uint64_t count = 0;
    double sum = 0;
};

/** Counts of observed values at or below each bound, with their total count and sum. */
struct histogram_value
{
    std::map<double, std::uint64_t> cumulativeCounts; /**< Count by upper bound, without the bound +Inf. */
    std::uint64_t count = 0;
    double sum = 0;
};

using metric_value = std::variant<counter_value, gauge_value, summary_value, histogram_value>;

/** One value of a metric, identified by its labels, such as {"service", "pebbling"}. */
struct metric_sample
{
    std::map<std::string, std::string> labels;
    metric_value value;
};

/** A named metric. Samples whose type of value differs from that of the first sample are not rendered. */
struct metric
{
    std::string name; /**< Includes the unit, such as parsleyglade_queue_wait_seconds; names of counters end in _total. */
    std::string help; /**< Description of the metric, one sentence. */
    std::vector<metric_sample> samples;
};

} // namespace parsleyglade
