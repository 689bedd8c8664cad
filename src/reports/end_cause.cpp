#include "reports/end_cause.h"

#include <array>

namespace parsleyglade {

std::string_view name(end_cause cause)
{
    static constexpr std::array<std::string_view, endCauseCount> names{"good", "refused", "failed", "late", "unknown", "maintenance"};
    return names.at(static_cast<std::size_t>(cause));
}

} // namespace parsleyglade
