#include "reports/latency_histogram.h"

#include <algorithm>

namespace parsleyglade {

void latency_histogram::add(duration latency)
{
    const double seconds = toSeconds(latency);
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
    if (bucket < static_cast<std::ptrdiff_t>(bounds.size())) {
        ++m_counts.at(static_cast<std::size_t>(bucket));
    }
    ++m_count;
    m_sum += seconds;
}

histogram_value latency_histogram::value() const
{
    histogram_value result;
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < bounds.size(); ++index) {
        cumulative += m_counts.at(index);
        result.cumulativeCounts[bounds.at(index)] = cumulative;
    }
    result.count = m_count;
    result.sum = m_sum;
    return result;
}

} // namespace parsleyglade
