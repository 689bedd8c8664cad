#pragma once

#include <cstddef>

namespace parsleyglade {

/** Real time of one whole fleet plan: budgets, moves, the step of a wave and a new plan of a maintenance cycle. */
struct plan_time_result
{
    std::size_t hosts = 0;
    std::size_t pools = 0;
    double medianMilliseconds = 0;
    double maximumMilliseconds = 0;
};

/** Plans the given number of times with 16 drains, 8 moves and a running wave. */
plan_time_result measurePlanTime(std::size_t hosts, std::size_t pools, int repetitions);

} // namespace parsleyglade
