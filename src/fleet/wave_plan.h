#pragma once

#include <string>
#include <vector>

namespace parsleyglade {

/** A planned maintenance cycle. */
struct wave_plan
{
    std::vector<std::vector<std::string>> batches; /**< Hosts that may be out together, in the order planned. */
    std::vector<std::string> blocked; /**< Hosts that no budget lets go; their pool needs a loan or a lower minimum. */
};

} // namespace parsleyglade
