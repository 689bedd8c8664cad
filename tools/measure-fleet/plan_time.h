#pragma once

#include <cstddef>

namespace parsleyglade {

/** Real time taken by one complete fleet plan: budgets, moves, one step of a wave and a new plan of a maintenance cycle. */
struct plan_time_result
{
    std::size_t hosts = 0;
    std::size_t pools = 0;
    double medianMilliseconds = 0;
    double maximumMilliseconds = 0;
};

/** Measures the given number of repetitions of the plan, with 16 drains, 8 moves and a running wave. @pre repetitions > 0 */
plan_time_result measurePlanTime(std::size_t hosts, std::size_t pools, int repetitions);

} // namespace parsleyglade
