#pragma once

#include <cstddef>

namespace parsleyglade {

/** Placement policy that selects the endpoints in turn, skipping those without a free slot. Baseline for comparisons. */
struct round_robin
{
    std::size_t next = 0; /**< Index at which the next search starts. */
};

} // namespace parsleyglade
