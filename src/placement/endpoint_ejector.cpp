#include "placement/endpoint_ejector.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace parsleyglade {

namespace {

std::size_t countEjected(std::span<const endpoint_view> pool, time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(pool.begin(), pool.end(), [now](const endpoint_view &endpoint) { return endpoint.ejection().isEjected(now); }));
}

} // namespace

endpoint_ejector::endpoint_ejector(ejection_settings settings)
    : m_settings(settings)
{
    assert(settings.ejectionShare >= 0.0 && settings.ejectionShare < 1.0);
    assert(settings.backoffJitter >= 0.0 && settings.backoffJitter < 1.0);
}

void endpoint_ejector::succeeded(endpoint_view &endpoint) const
{
    ejection_state &state = endpoint.ejection();
    state.consecutiveFailures = 0;
    state.consecutiveFastFailures = 0;
    state.ejections = 0;
    state.onProbation = false;
    state.failureShare *= 1.0 - m_settings.failureGain;
}

void endpoint_ejector::failed(std::span<endpoint_view> pool, std::size_t index, duration elapsed, duration expected, time_point now,
                              std::mt19937_64 &random) const
{
    assert(index < pool.size());
    ejection_state &state = pool[index].ejection();
    const bool isFast = toSeconds(elapsed) < m_settings.fastFailureShare * toSeconds(expected);
    state.consecutiveFailures += 1;
    state.consecutiveFastFailures = isFast ? state.consecutiveFastFailures + 1 : 0;
    state.failureShare += m_settings.failureGain * (1.0 - state.failureShare);

    if (state.isEjected(now) || !shouldEject(state) || countEjected(pool, now) >= ejectionLimit(pool.size())) {
        return;
    }

    state.ejectedUntil = now + backoffFor(state.ejections, random);
    state.ejections += 1;
    state.onProbation = true;
}

void endpoint_ejector::enforceEjectionLimit(std::span<endpoint_view> pool, time_point now) const
{
    std::size_t ejected = countEjected(pool, now);
    while (ejected > ejectionLimit(pool.size())) {
        const auto next = std::min_element(pool.begin(), pool.end(), [now](const endpoint_view &left, const endpoint_view &right) {
            const auto rank = [now](const endpoint_view &view) {
                return view.ejection().isEjected(now) ? view.ejection().ejectedUntil : time_point::max();
            };
            return rank(left) < rank(right);
        });
        next->ejection().ejectedUntil = now;
        ejected -= 1;
    }
}

std::size_t endpoint_ejector::ejectionLimit(std::size_t poolSize) const
{
    return static_cast<std::size_t>(m_settings.ejectionShare * static_cast<double>(poolSize));
}

bool endpoint_ejector::shouldEject(const ejection_state &state) const
{
    return state.onProbation || state.consecutiveFailures >= m_settings.failureLimit || state.consecutiveFastFailures >= m_settings.fastFailureLimit;
}

duration endpoint_ejector::backoffFor(std::uint32_t ejections, std::mt19937_64 &random) const
{
    std::uniform_real_distribution<double> jitter(1.0 - m_settings.backoffJitter, 1.0 + m_settings.backoffJitter);
    const double doubled = toSeconds(m_settings.initialBackoff) * std::exp2(static_cast<double>(std::min(ejections, 30U)));
    const double seconds = std::min(doubled, toSeconds(m_settings.maximumBackoff)) * jitter(random);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace parsleyglade
