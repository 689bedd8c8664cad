#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Whether a job's run time is typical of its pool (short) or many times longer (long). @see run_time_estimator */
enum class job_class : std::uint8_t {
    short_job,
    long_job,
};

constexpr std::size_t jobClassCount = 2;

/** The name of a class as written to status reports. */
constexpr std::string_view name(job_class value)
{
    constexpr std::array<std::string_view, jobClassCount> names{"short", "long"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace parsleyglade
