#include "placement/placement_policy.h"

#include <array>

namespace parsleyglade {

std::string_view name(const placement_policy &policy)
{
    constexpr std::array<std::string_view, std::variant_size_v<placement_policy>> names{"least-expected-work", "two-queue-ageing", "least-connections",
                                                                                        "round-robin"};
    return names[policy.index()];
}

} // namespace parsleyglade
