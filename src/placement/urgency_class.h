#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Urgency of a job. Urgent jobs are taken first, up to a limit that prevents normal jobs from starving. @see admission_queue */
enum class urgency_class : std::uint8_t {
    urgent,
    normal,
};

constexpr std::size_t urgencyClassCount = 2;

/** The name of a class as written in the routes table. */
constexpr std::string_view name(urgency_class value)
{
    constexpr std::array<std::string_view, urgencyClassCount> names{"urgent", "normal"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace parsleyglade
