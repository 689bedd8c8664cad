#pragma once

#include "core/time_types.h"

#include <array>
#include <string_view>

namespace parsleyglade {

/** The windows over which the spending of budgets is counted. */
enum class burn_window : std::uint8_t {
    five_minutes,
    thirty_minutes,
    one_hour,
    six_hours,
    three_days,
};

constexpr std::size_t burnWindowCount = 5;

/**
 * Buckets that cover a window. A window at a moment is the bucket of that moment and the 30 before it, so it is at least as long as its
 * name says and at most a thirtieth longer. Buckets are aligned to the epoch, so those of several entry hosts add up.
 */
constexpr std::int64_t bucketsPerWindow = 31;

/** One row of the table of windows. */
struct burn_window_row
{
    burn_window window;
    std::string_view name;
    std::chrono::milliseconds length;

    /** Length of one bucket. */
    constexpr std::chrono::milliseconds bucketLength() const
    {
        return length / (bucketsPerWindow - 1);
    }

    /** Number of the bucket that holds a moment, counted from the epoch. */
    std::int64_t bucketOf(wall_time at) const
    {
        return std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch()).count() / bucketLength().count();
    }

    /** Start of a bucket. */
    wall_time startOf(std::int64_t bucket) const
    {
        return wall_time(bucket * bucketLength());
    }
};

/** Every window, shortest first. */
inline constexpr std::array<burn_window_row, burnWindowCount> burnWindowTable{{
    {burn_window::five_minutes, "5m", std::chrono::minutes(5)},
    {burn_window::thirty_minutes, "30m", std::chrono::minutes(30)},
    {burn_window::one_hour, "1h", std::chrono::hours(1)},
    {burn_window::six_hours, "6h", std::chrono::hours(6)},
    {burn_window::three_days, "3d", std::chrono::hours(72)},
}};

/** The row of a window. */
constexpr const burn_window_row &describe(burn_window window)
{
    return burnWindowTable.at(static_cast<std::size_t>(window));
}

} // namespace parsleyglade
