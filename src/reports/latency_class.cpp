#include "reports/latency_class.h"

#include <array>

namespace parsleyglade {

std::string_view name(latency_class latencyClass)
{
    static constexpr std::array<std::string_view, latencyClassCount> names{"short", "urgent", "long"};
    return names.at(static_cast<std::size_t>(latencyClass));
}

} // namespace parsleyglade
