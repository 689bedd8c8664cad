#pragma once

#include "reports/end_counts.h"

#include <cstdint>

namespace parsleyglade {

/** Counts of the jobs that ended within one bucket of a window. */
struct count_bucket
{
    std::int64_t bucket = 0; /**< Number of the bucket. @see burn_window_row::bucketOf */
    end_counts counts;

    friend bool operator==(const count_bucket &, const count_bucket &) = default;
};

} // namespace parsleyglade
