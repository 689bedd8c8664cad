#pragma once

#include "core/time_types.h"

#include <optional>
#include <vector>

namespace parsleyglade {

/** Returns how many times as long as expected a run takes, judged by its progress; nothing while that can't be told.
    @param elapsed until its progress was reported @param expected run time of such tasks @param progress in percent */
std::optional<double> projectedSlowness(duration elapsed, duration expected, int progress);

/**
 * Whether an executor is slow, judged by all its runs together. A slow task is slow on any executor, and a copy of it would be as slow; but on a slow
 * executor most runs are slow at the same time.
 * @param slowness of the runs of which it can be told
 */
bool isSlowExecutor(std::vector<double> slowness);

} // namespace parsleyglade
