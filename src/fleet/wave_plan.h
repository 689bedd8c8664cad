#pragma once

#include <string>
#include <vector>

namespace parsleyglade {

/** Planned order in which a maintenance wave takes its hosts out of service. */
struct wave_plan
{
    std::vector<std::vector<std::string>> batches; /**< Hosts that may be out of service at the same time, in the planned order. */
    std::vector<std::string> blocked; /**< Hosts that the budget does not allow out even alone; their pool must borrow a host or lower its minimum. */
};

} // namespace parsleyglade
