#pragma once

#include "reports/burn_window.h"
#include "reports/count_bucket.h"

#include <vector>

namespace parsleyglade {

/** Ring buffer with the buckets of one window, in fixed memory. @see burn_window_row for the numbering of buckets */
class bucket_ring
{
public:
    /**
     * Counts one ended job in the bucket with this number. A job whose bucket is older than the window, which occurs after the
     * wall clock is set back, is counted in the oldest bucket of the window, so that no ended job is lost.
     */
    void add(std::int64_t bucket, end_cause cause);

    /** Returns the buckets of the window that contain ended jobs, oldest first. */
    std::vector<count_bucket> buckets() const;

    /** Returns whether no job ended in the window whose newest bucket is the given one. */
    bool isEmptyAt(std::int64_t bucket) const;

private:
    std::array<count_bucket, bucketsPerWindow> m_buckets{};
    std::int64_t m_newest = 0; /**< Number of the newest bucket. Times before the epoch are not expected; they are counted in bucket 0. */
};

} // namespace parsleyglade
