#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** Real time taken by one kind of decision in a deployment of one size. */
struct decision_timing
{
    std::string size; /**< Name of the deployment. */
    std::size_t workers = 0;
    std::size_t pools = 0;
    std::string decision;
    double p50Microseconds = 0.0;
    double p99Microseconds = 0.0;
};

/** Measures placement, admission and refusal in deployments of three sizes, the largest being twoYearSize(). Includes the cost of reading the clock. */
std::vector<decision_timing> timeDecisions(std::uint64_t seed);

} // namespace parsleyglade
