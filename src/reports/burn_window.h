#pragma once

#include "core/time_types.h"

#include <array>
#include <string_view>

namespace parsleyglade {

/** The windows over which burn rates are computed. */
enum class burn_window : std::uint8_t {
    five_minutes,
    thirty_minutes,
    one_hour,
    six_hours,
    three_days,
};

constexpr std::size_t burnWindowCount = 5;

/**
 * Number of buckets that cover a window. A window consists of the bucket of the current time and the 30 buckets before it, so it is at least
 * as long as its nominal length and at most a thirtieth longer. Buckets are aligned to the epoch, so that those of several entry hosts can
 * be added.
 */
constexpr std::int64_t bucketsPerWindow = 31;

/** Properties of a window: a row of burnWindowTable. */
struct burn_window_row
{
    burn_window window;
    std::string_view name; /**< As it appears in documents and pages. */
    std::chrono::milliseconds length; /**< Nominal length. */

    /** Returns the length of one bucket. */
    constexpr std::chrono::milliseconds bucketLength() const
    {
        return length / (bucketsPerWindow - 1);
    }

    /** Returns the number of the bucket that contains a time; buckets are numbered from the epoch. */
    std::int64_t bucketOf(wall_time at) const
    {
        return std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch()).count() / bucketLength().count();
    }

    /** Returns the start of a bucket, which is part of the bucket. */
    wall_time startOf(std::int64_t bucket) const
    {
        return wall_time(bucket * bucketLength());
    }
};

/** All windows, shortest first, in the order of burn_window. */
inline constexpr std::array<burn_window_row, burnWindowCount> burnWindowTable{{
    {burn_window::five_minutes, "5m", std::chrono::minutes(5)},
    {burn_window::thirty_minutes, "30m", std::chrono::minutes(30)},
    {burn_window::one_hour, "1h", std::chrono::hours(1)},
    {burn_window::six_hours, "6h", std::chrono::hours(6)},
    {burn_window::three_days, "3d", std::chrono::hours(72)},
}};

/** Returns the properties of a window. */
constexpr const burn_window_row &describe(burn_window window)
{
    return burnWindowTable.at(static_cast<std::size_t>(window));
}

} // namespace parsleyglade
