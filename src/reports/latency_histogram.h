#pragma once

#include "core/time_types.h"
#include "reports/metric.h"

#include <array>
#include <cstdint>

namespace parsleyglade {

/** Histogram of latencies for a metric, with fixed bucket bounds from 1 ms to 10 s. */
class latency_histogram
{
public:
    /** Upper bounds of the buckets, in seconds. */
    static constexpr std::array<double, 13> bounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0};

    /** Counts one latency. Latencies above the last bound are included only in the total count and the sum. */
    void add(duration latency);

    /** Returns the cumulative counts as a metric value, with bounds and sum in seconds. */
    histogram_value value() const;

private:
    std::array<std::uint64_t, bounds.size()> m_counts{};
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

} // namespace parsleyglade
