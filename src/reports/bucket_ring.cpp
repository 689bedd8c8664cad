#include "reports/bucket_ring.h"

#include <algorithm>

namespace parsleyglade {

void bucket_ring::add(std::int64_t bucket, end_cause cause)
{
    m_newest = std::max(m_newest, bucket);
    bucket = std::max({bucket, m_newest - bucketsPerWindow + 1, std::int64_t{0}});

    count_bucket &slot = m_buckets.at(static_cast<std::size_t>(bucket % bucketsPerWindow));
    if (slot.bucket != bucket) {
        slot = {bucket, {}};
    }
    slot.counts.add(cause);
}

std::vector<count_bucket> bucket_ring::buckets() const
{
    std::vector<count_bucket> result;
    for (const count_bucket &each : m_buckets) {
        if (each.bucket > m_newest - bucketsPerWindow && each.counts.total() > 0) {
            result.push_back(each);
        }
    }
    std::sort(result.begin(), result.end(), [](const count_bucket &left, const count_bucket &right) { return left.bucket < right.bucket; });
    return result;
}

bool bucket_ring::isEmptyAt(std::int64_t bucket) const
{
    return std::none_of(m_buckets.begin(), m_buckets.end(),
                        [bucket](const count_bucket &each) { return each.bucket > bucket - bucketsPerWindow && each.counts.total() > 0; });
}

} // namespace parsleyglade
