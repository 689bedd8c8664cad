#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** Real time that one decision takes at one size of deployment. */
struct decision_timing
{
    std::string size;
    std::size_t workers = 0;
    std::size_t pools = 0;
    std::string decision;
    double p50Microseconds = 0.0;
    double p99Microseconds = 0.0;
};

/** Times placement, admission and refusal at three sizes up to that of two years. The cost of reading the clock is included. */
std::vector<decision_timing> timeDecisions(std::uint64_t seed);

} // namespace parsleyglade
