#include "locality/rack_forecast.h"

#include <algorithm>
#include <numeric>

namespace parsleyglade {

namespace {

constexpr int smallestUsableProgress = 5; // percent; a smaller figure is too coarse to tell the speed of a run
constexpr int fullProgress = 100;

} // namespace

duration expectedRemaining(duration elapsed, duration expected, int progress)
{
    if (progress >= smallestUsableProgress) {
        return elapsed * (fullProgress - std::min(progress, fullProgress)) / progress;
    }
    return std::max(expected - elapsed, elapsed / 2);
}

rack_forecast::rack_forecast(std::vector<executor_forecast> executors)
    : m_executors(std::move(executors))
{
    for (executor_forecast &executor : m_executors) {
        std::sort(executor.ends.begin(), executor.ends.end(), [](const expected_end &left, const expected_end &right) { return left.in < right.in; });
    }
}

std::optional<duration> rack_forecast::waitOn(const executor_forecast &executor, std::int64_t millicores)
{
    std::int64_t free = executor.freeMillicores;
    if (free >= millicores) {
        return duration::zero();
    }
    for (const expected_end &end : executor.ends) {
        free += end.millicores;
        if (free >= millicores) {
            return end.in;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> rack_forecast::findFirst(std::int64_t millicores) const
{
    std::optional<std::size_t> first;
    std::optional<duration> shortest;
    for (std::size_t number = 0; number < m_executors.size(); ++number) {
        const auto wait = waitOn(m_executors[number], millicores);
        if (wait && (!shortest || *wait < *shortest)) {
            first = number;
            shortest = wait;
        }
    }
    return first;
}

std::optional<duration> rack_forecast::waitFor(std::int64_t millicores) const
{
    const auto first = findFirst(millicores);
    return first ? waitOn(m_executors[*first], millicores) : std::nullopt;
}

std::int64_t rack_forecast::freeMillicores() const
{
    return std::accumulate(m_executors.begin(), m_executors.end(), std::int64_t{0},
                           [](std::int64_t sum, const executor_forecast &executor) { return sum + std::max<std::int64_t>(executor.freeMillicores, 0); });
}

void rack_forecast::queue(std::int64_t millicores)
{
    if (const auto first = findFirst(millicores)) {
        m_executors[*first].freeMillicores -= millicores;
    }
}

} // namespace parsleyglade
