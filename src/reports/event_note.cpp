#include "reports/event_note.h"

#include <array>

namespace parsleyglade {

std::string_view name(event_kind kind)
{
    static constexpr std::array<std::string_view, eventKindCount> names{"wave", "move", "drain", "revision"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace parsleyglade
