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

    /** Exact for fewer values than the algorithm has markers, estimated beyond. */
    latency_quantiles quantiles() const;

private:
    /** Markers of the algorithm; its result has no meaning before it has as many values. */
    static constexpr std::size_t markerCount = 2 * latencyProbabilities.size() + 3;

    using accumulator = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

    latency_quantiles exactQuantiles() const;

    accumulator m_accumulator;
    std::vector<double> m_firstValues; /**< The first values. */
    std::uint64_t m_count = 0;
};

} // namespace parsleyglade
