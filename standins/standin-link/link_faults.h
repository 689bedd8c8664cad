#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Faults that a link injects into its connections. */
struct link_faults
{
    bool isPartitionedToTarget = false; /**< Bytes towards the target are buffered until the partition ends, as TCP does. */
    bool isPartitionedFromTarget = false; /**< Bytes from the target are buffered until the partition ends. */
    duration latency{}; /**< Delay of each chunk of bytes, in each direction. */
};

} // namespace parsleyglade
