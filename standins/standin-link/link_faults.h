#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Fault switches of one relayed link. */
struct link_faults
{
    bool isPartitionedToTarget = false; /**< Bytes towards the target are held until the cut ends, as TCP does in a partition. */
    bool isPartitionedFromTarget = false; /**< Bytes from the target are held. */
    duration latency{}; /**< Delay of each chunk of bytes, in each direction. */
};

} // namespace parsleyglade
