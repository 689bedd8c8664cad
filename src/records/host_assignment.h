#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace parsleyglade {

/**
 * The pool of a host and its move, if it has one.
 *
 * serving(P) → leaving(P) → drained → joining(Q) → serving(Q). The fold knows serving and leaving. A leaving host is drained once
 * every registered entry host of its data centre has acknowledged. A host is joining from its joined record until the first good probe.
 */
struct host_assignment
{
    std::int64_t epoch = 0; /**< Rises with each accepted start, join and cancellation. */
    std::string pool; /**< The pool that the host serves or leaves. */
    std::string toPool; /**< Target of the move in progress; empty when there is none. */
    std::string dataCentre;
    std::int64_t startedWallMilliseconds = 0; /**< When the move in progress was written. */
    std::set<std::int64_t> acknowledged; /**< Incarnations that acknowledged the move in progress. */

    bool isLeaving() const
    {
        return !toPool.empty();
    }

    friend bool operator==(const host_assignment &, const host_assignment &) = default;
};

} // namespace parsleyglade
