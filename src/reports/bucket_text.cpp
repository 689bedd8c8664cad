#include "reports/bucket_text.h"

#include <charconv>

namespace parsleyglade {

namespace {

constexpr std::uint64_t maximumBucketNumber = 100'000'000'000; // After the year 9999 with buckets of 10 s, the shortest.

/** Parses the number at the start of the text and removes it. Leading zeros are rejected, so that each number has only one form. */
std::optional<std::uint64_t> consumeNumber(std::string_view &text, std::uint64_t maximum)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto length = static_cast<std::size_t>(end - text.data());
    if (error != std::errc{} || value > maximum || (length > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    text.remove_prefix(length);
    return value;
}

bool consumeCharacter(std::string_view &text, char character)
{
    if (text.empty() || text.front() != character) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

std::optional<count_bucket> consumeBucket(std::string_view &text)
{
    const std::optional<std::uint64_t> number = consumeNumber(text, maximumBucketNumber);
    if (!number || !consumeCharacter(text, ' ')) {
        return std::nullopt;
    }

    count_bucket result{static_cast<std::int64_t>(*number), {}};
    std::size_t cause = 0;
    do {
        const std::optional<std::uint64_t> count = consumeNumber(text, maximumBucketCount);
        if (!count || cause == endCauseCount) {
            return std::nullopt;
        }
        result.counts.add(static_cast<end_cause>(cause), *count);
        ++cause;
    } while (consumeCharacter(text, ','));
    const bool endsWithZero = result.counts.of(static_cast<end_cause>(cause - 1)) == 0;
    return endsWithZero ? std::nullopt : std::optional(result);
}

} // namespace

std::string formatBuckets(const std::vector<count_bucket> &buckets)
{
    std::string result;
    for (const count_bucket &each : buckets) {
        result += result.empty() ? "" : ";";
        result += std::to_string(each.bucket);
        std::size_t last = endCauseCount - 1;
        while (last > 0 && each.counts.of(static_cast<end_cause>(last)) == 0) {
            --last;
        }
        for (std::size_t cause = 0; cause <= last; ++cause) {
            result += cause == 0 ? ' ' : ',';
            result += std::to_string(each.counts.of(static_cast<end_cause>(cause)));
        }
    }
    return result;
}

std::optional<std::vector<count_bucket>> parseBuckets(std::string_view text)
{
    std::vector<count_bucket> result;
    while (!text.empty()) {
        if (!result.empty() && !consumeCharacter(text, ';')) {
            return std::nullopt;
        }
        const std::optional<count_bucket> each = consumeBucket(text);
        if (!each || (!result.empty() && each->bucket <= result.back().bucket)) {
            return std::nullopt;
        }
        result.push_back(*each);
        if (result.back().bucket - result.front().bucket >= bucketsPerWindow) {
            return std::nullopt;
        }
    }
    return result;
}

} // namespace parsleyglade
