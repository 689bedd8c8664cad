#pragma once

#include "reports/latency_quantiles.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace parsleyglade {

/** A number that only rises while the process runs. */
struct counter_value
{
    double value = 0;
};

/** A number that rises and falls. */
struct gauge_value
{
    double value = 0;
};

/** Quantiles of observed values, with their number and sum. */
struct summary_value
{
    std::map<double, double> quantiles; /**< Value by probability, such as 0.99. */
    std::uint64_t count = 0;
    double sum = 0;
};

/** How many observed values were at or below each bound, with their number and sum. */
struct histogram_value
{
    std::map<double, std::uint64_t> cumulativeCounts; /**< Cumulative count by upper bound, without the infinite one. */
    std::uint64_t count = 0;
    double sum = 0;
};

using metric_value = std::variant<counter_value, gauge_value, summary_value, histogram_value>;

/** One value of a metric with the labels that tell it from others, such as {"service", "pebbling"}. */
struct metric_sample
{
    std::map<std::string, std::string> labels;
    metric_value value;
};

/** A named metric. All samples have the kind of value that the first has; others are left out of the page. */
struct metric
{
    std::string name; /**< With its unit, such as parsleyglade_queue_wait_seconds; counters end in _total. */
    std::string help; /**< One sentence. */
    std::vector<metric_sample> samples;
};

} // namespace parsleyglade
