#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace parsleyglade {

/**
 * The pool of a host and its move to another pool, if one is in progress.
 *
 * States: serving(P) → leaving(P) → drained → joining(Q) → serving(Q). The fold distinguishes only serving and leaving. A leaving host is
 * drained when every registered entry host of its data centre has acknowledged the move. A host is joining from its move_joined record
 * until its first successful probe.
 */
struct host_assignment
{
    std::int64_t epoch = 0; /**< Incremented by each accepted start, join and cancellation. */
    std::string pool; /**< The pool that the host serves or leaves. */
    std::string toPool; /**< Target of the move in progress; empty when there is none. */
    std::string dataCentre;
    std::int64_t startedWallMilliseconds = 0; /**< Wall time of the last start record, in milliseconds since the Unix epoch. */
    std::set<std::int64_t> acknowledged; /**< Incarnations that have acknowledged the move in progress. */

    bool isLeaving() const
    {
        return !toPool.empty();
    }

    friend bool operator==(const host_assignment &, const host_assignment &) = default;
};

} // namespace parsleyglade
