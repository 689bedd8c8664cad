#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Whether the burn rate of a service's error budget is high enough to need an operator's attention. @see service_burn */
enum class alert_state : std::uint8_t {
    none,
    slow, /**< burn(6 h) > 6 and burn(30 min) > 6. */
    fast, /**< burn(1 h) > 14.4 and burn(5 min) > 14.4. */
};

/** Burn rates above which an alert is raised. They spend 2 % of a 30-day budget in 1 h (fast) and 5 % of it in 6 h (slow). */
constexpr double fastBurnRate = 14.4;
constexpr double slowBurnRate = 6.0;

/** Returns the name of a state as it appears in documents and pages. */
std::string_view name(alert_state state);

} // namespace parsleyglade
