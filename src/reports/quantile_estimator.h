#pragma once

#include "reports/latency_quantiles.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <vector>

namespace parsleyglade {

/** Estimates quantiles of a stream of values in fixed memory with the extended P² algorithm. */
class quantile_estimator
{
public:
    quantile_estimator();

    void add(double milliseconds);

    /** Returns the quantiles of all values. They are exact for up to markerCount values and estimated above. */
    latency_quantiles quantiles() const;

private:
    /** Number of markers of the algorithm. Its result is not meaningful for fewer values. */
    static constexpr std::size_t markerCount = 2 * latencyProbabilities.size() + 3;

    using accumulator = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

    latency_quantiles exactQuantiles() const;

    accumulator m_accumulator;
    std::vector<double> m_firstValues; /**< The values, as long as there are at most markerCount of them; empty afterwards. */
    std::uint64_t m_count = 0;
};

} // namespace parsleyglade
