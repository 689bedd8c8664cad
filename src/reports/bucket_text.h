#pragma once

#include "reports/burn_window.h"
#include "reports/count_bucket.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** Upper bound of the count of one cause in a bucket. Keeps sums over all buckets and entry hosts well below 2^63. */
constexpr std::uint64_t maximumBucketCount = 1'000'000'000'000;

/**
 * Formats the buckets of a window as text, such as "29939040 12,0,1;29939042 3". Each bucket is written as its number and its counts in
 * the order of end_cause, without trailing zeros. A single JSON string for each window is faster to parse than a JSON number for each count.
 */
std::string formatBuckets(const std::vector<count_bucket> &buckets);

/**
 * Parses the text of formatBuckets(). Returns std::nullopt unless the text is in exactly the form that formatBuckets() writes, and its buckets
 * are not empty, in ascending order and within one window.
 */
std::optional<std::vector<count_bucket>> parseBuckets(std::string_view text);

} // namespace parsleyglade
