#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** What is known about another entry host from its messages. */
struct member
{
    std::string dataCentre; /**< Empty until it has sent a probe. */
    std::int32_t leadingMillicores = 0; /**< Processor share that it offers for leadership, as of its last probe. */
    time_point lastMessageAt{}; /**< When it was last heard of, possibly through another entry host. */
    time_point lastProbeAt{}; /**< When its last probe arrived here. */
};

} // namespace parsleyglade
