#include "reports/planned_change.h"

#include <array>

namespace parsleyglade {

std::string_view name(planned_change_kind kind)
{
    static constexpr std::array<std::string_view, plannedChangeKindCount> names{"wave", "move", "drain", "revision"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace parsleyglade
