#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Whether a service spends its budget fast enough for somebody to look at it. */
enum class alert_state : std::uint8_t {
    none,
    slow, /**< burn(6 h) > 6 and burn(30 min) > 6. */
    fast, /**< burn(1 h) > 14.4 and burn(5 min) > 14.4. */
};

/** Burn rates over which an alert is raised: 2 % of the budget of 30 days in 1 h, and 5 % of it in 6 h. */
constexpr double fastBurnRate = 14.4;
constexpr double slowBurnRate = 6.0;

/** The name of a state as it appears in documents and pages. */
std::string_view name(alert_state state);

} // namespace parsleyglade
