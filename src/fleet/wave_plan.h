#pragma once

#include <string>
#include <vector>

namespace parsleyglade {

/** Planned order in which a maintenance wave takes its hosts out of service. */
struct wave_plan
{
    std::vector<std::vector<std::string>> batches; /**< Hosts that may be out of service at the same time, in the planned order. */
    /** Hosts that the budget does not allow out of service even alone; their pool must borrow a host or lower its minimum. */
    std::vector<std::string> blocked;
};

} // namespace parsleyglade
