#pragma once

#include "reports/burn_window.h"
#include "reports/count_bucket.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** Largest count of one cause in a bucket; sums over all buckets and entry hosts stay far below 2^63. */
constexpr std::uint64_t maximumBucketCount = 1'000'000'000'000;

/**
 * The buckets of a window as text, such as "29939040 12,0,1;29939042 3": for each bucket its number and its counts in the order of
 * end_cause, without zeros at the end. One JSON value for each window instead of one for each count keeps documents quick to read.
 */
std::string formatBuckets(const std::vector<count_bucket> &buckets);

/** Reads the text. Nothing unless it is exactly what formatBuckets() writes for ascending buckets with ends, all within one window. */
std::optional<std::vector<count_bucket>> parseBuckets(std::string_view text);

} // namespace parsleyglade
