#include "speculation/executor_speed.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr std::size_t minimumRuns = 3; // of fewer, one slow task decides
constexpr double slowFrom = 2.0; // declared run times err by less, as the average of several runs
constexpr int smallestUsableProgress = 5; // percent
constexpr double fullProgress = 100.0;

} // namespace

std::optional<double> projectedSlowness(duration elapsed, duration expected, int progress)
{
    if (expected <= duration::zero() || elapsed <= duration::zero()) {
        return std::nullopt;
    }
    const double atLeast = toSeconds(elapsed) / toSeconds(expected);
    if (progress >= smallestUsableProgress) {
        return atLeast * fullProgress / static_cast<double>(progress);
    }
    return atLeast >= slowFrom ? std::optional<double>(atLeast) : std::nullopt;
}

bool isSlowExecutor(std::vector<double> slowness)
{
    if (slowness.size() < minimumRuns) {
        return false;
    }
    const auto median = slowness.begin() + static_cast<std::ptrdiff_t>((slowness.size() - 1) / 2);
    std::nth_element(slowness.begin(), median, slowness.end());
    return *median >= slowFrom;
}

} // namespace parsleyglade
