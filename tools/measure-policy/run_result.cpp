#include "run_result.h"

#include <algorithm>
#include <numeric>

namespace parsleyglade {

std::uint64_t run_result::refusedCount() const
{
    return std::accumulate(refusals.begin(), refusals.end(), std::uint64_t{0}, [](std::uint64_t sum, const auto &entry) { return sum + entry.second; });
}

double quantile(std::vector<double> &samples, double share)
{
    if (samples.empty()) {
        return 0.0;
    }

    const auto index = std::min(static_cast<std::size_t>(share * static_cast<double>(samples.size())), samples.size() - 1);
    const auto position = samples.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

} // namespace parsleyglade
