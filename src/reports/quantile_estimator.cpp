#include "reports/quantile_estimator.h"

#include <algorithm>
#include <cmath>

namespace parsleyglade {

quantile_estimator::quantile_estimator()
    : m_accumulator(boost::accumulators::extended_p_square_probabilities = latencyProbabilities)
{
}

void quantile_estimator::add(double milliseconds)
{
    m_accumulator(milliseconds);
    ++m_count;
    if (m_count <= markerCount) {
        m_firstValues.push_back(milliseconds);
    } else if (!m_firstValues.empty()) {
        m_firstValues = {};
    }
}

latency_quantiles quantile_estimator::quantiles() const
{
    if (m_count <= markerCount) {
        return exactQuantiles();
    }

    latency_quantiles result{m_count, {}};
    for (std::size_t index = 0; index < latencyProbabilities.size(); ++index) {
        result.milliseconds.at(index) = boost::accumulators::extended_p_square(m_accumulator)[static_cast<std::ptrdiff_t>(index)];
    }
    return result;
}

latency_quantiles quantile_estimator::exactQuantiles() const
{
    latency_quantiles result{m_count, {}};
    if (m_firstValues.empty()) {
        return result;
    }

    std::vector<double> sorted = m_firstValues;
    std::sort(sorted.begin(), sorted.end());
    for (std::size_t index = 0; index < latencyProbabilities.size(); ++index) {
        const auto rank = static_cast<std::size_t>(std::ceil(latencyProbabilities.at(index) * static_cast<double>(sorted.size())));
        result.milliseconds.at(index) = sorted.at(std::max<std::size_t>(rank, 1) - 1);
    }
    return result;
}

} // namespace parsleyglade
