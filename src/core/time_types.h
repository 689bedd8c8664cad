#pragma once

#include <chrono>
#include <cstdint>

namespace parsleyglade {

/** Resolution of all durations and monotonic times. */
using duration = std::chrono::microseconds;

/** Clock type of monotonic times. It has no now(): the time is read from a timer_service. */
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

/** Converts a duration to seconds, including the fraction. */
constexpr double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace parsleyglade
