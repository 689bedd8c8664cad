#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Probabilities of the quantiles that are estimated for each latency class. */
inline constexpr std::array latencyProbabilities{0.5, 0.9, 0.99, 0.999};

/** Names of the quantiles, in the same order. */
inline constexpr std::array<std::string_view, latencyProbabilities.size()> latencyQuantileNames{"p50", "p90", "p99", "p99.9"};

/** Quantiles of the latencies of the jobs that completed at one entry host. */
struct latency_quantiles
{
    std::uint64_t count = 0; /**< Number of jobs; the quantiles are 0 if there are none. */
    std::array<double, latencyProbabilities.size()> milliseconds{}; /**< In the order of latencyProbabilities. */

    friend bool operator==(const latency_quantiles &, const latency_quantiles &) = default;
};

} // namespace parsleyglade
