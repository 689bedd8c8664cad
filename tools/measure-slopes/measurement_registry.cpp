#include "measurement_registry.h"

#include <algorithm>

namespace parsleyglade {

measurement_registry::registration::registration(std::unique_ptr<measurement> added)
{
    auto &list = all();
    const auto position = std::find_if(list.begin(), list.end(), [&added](const auto &each) { return each->name() > added->name(); });
    list.insert(position, std::move(added));
}

std::vector<std::unique_ptr<measurement>> &measurement_registry::all()
{
    static std::vector<std::unique_ptr<measurement>> list; // Local to the function, so that it is initialised before the first registration.
    return list;
}

} // namespace parsleyglade
