#pragma once

#include "scheduler/queue_configuration.h"

namespace parsleyglade {

/** What an entry host knows about the queue of a request. */
struct queue_lookup
{
    enum class lookup_status {
        found,
        not_found, /**< The newest configuration has no such queue. */
        outdated, /**< The leader has a newer configuration, which may have it. */
        unverified, /**< The configuration in force is not known to be the newest, and a newer one may have it. */
        unconfigured, /**< There is no configuration yet. */
    };

    lookup_status status = lookup_status::unconfigured;
    const queue_policy *queue = nullptr; /**< When found; valid until the configuration changes. */
};

} // namespace parsleyglade
