#pragma once

#include "reports/end_counts.h"

#include <cstdint>

namespace parsleyglade {

/** Ends of jobs within one bucket of a window. @see burn_window_row::bucketOf */
struct count_bucket
{
    std::int64_t bucket = 0;
    end_counts counts;

    friend bool operator==(const count_bucket &, const count_bucket &) = default;
};

} // namespace parsleyglade
