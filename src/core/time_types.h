#pragma once

#include <chrono>
#include <cstdint>

namespace parsleyglade {

using duration = std::chrono::microseconds;

/** Names the monotonic time of a timer_service; it is never read directly. */
struct monotonic_clock
{
    using duration = parsleyglade::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by the Clock requirements
};

using time_point = monotonic_clock::time_point;

/** Wall time in milliseconds since the Unix epoch. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/** Whole and fractional seconds of a duration. */
constexpr double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace parsleyglade
