#include "reports/alert_state.h"

#include <array>

namespace parsleyglade {

std::string_view name(alert_state state)
{
    static constexpr std::array<std::string_view, 3> names{"none", "slow", "fast"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace parsleyglade
