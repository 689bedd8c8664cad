#pragma once

#include <cstddef>

namespace parsleyglade {

/** Places on the endpoints in turn and skips those without a free slot. A baseline. */
struct round_robin
{
    std::size_t next = 0; /**< Index that the next turn starts from. */
};

} // namespace parsleyglade
