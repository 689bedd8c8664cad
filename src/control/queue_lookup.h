#pragma once

#include "scheduler/queue_configuration.h"

namespace parsleyglade {

/** Result of looking up the queue of a request in the configuration in force. */
struct queue_lookup
{
    enum class lookup_status {
        found, /**< The configuration in force has the queue. */
        not_found, /**< The newest configuration has no such queue. */
        outdated, /**< There is no such queue, but the leader has a newer configuration, which may have it. */
        unverified, /**< There is no such queue, but the configuration in force is not known to be the newest. */
        unconfigured, /**< No configuration was received yet. */
    };

    lookup_status status = lookup_status::unconfigured;
    const queue_policy *queue = nullptr; /**< Null unless found; valid until the configuration changes. */
};

} // namespace parsleyglade
