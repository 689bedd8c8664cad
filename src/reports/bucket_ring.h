#pragma once

#include "reports/burn_window.h"
#include "reports/count_bucket.h"

#include <vector>

namespace parsleyglade {

/** The buckets of one window, in fixed memory. */
class bucket_ring
{
public:
    /**
     * Counts one end in the bucket with this number. A bucket that is older than the window, as after the wall clock was set back,
     * counts as the oldest of the window, so that no end is lost.
     */
    void add(std::int64_t bucket, end_cause cause);

    /** The buckets with ends, oldest first. */
    std::vector<count_bucket> buckets() const;

    /** Whether the window that ends with the given bucket has no ends. */
    bool isEmptyAt(std::int64_t bucket) const;

private:
    std::array<count_bucket, bucketsPerWindow> m_buckets{};
    std::int64_t m_newest = 0; /**< Times before the epoch are not expected; they count as the first bucket. */
};

} // namespace parsleyglade
