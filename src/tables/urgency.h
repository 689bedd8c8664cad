#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Priority class of a route's jobs in the admission queue. */
enum class urgency : std::uint8_t {
    normal,
    urgent,
};

/** Returns the name of the class as it appears in the routes table. */
constexpr std::string_view name(urgency value)
{
    return value == urgency::urgent ? "urgent" : "normal";
}

} // namespace parsleyglade
