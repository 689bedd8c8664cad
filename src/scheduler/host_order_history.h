#pragma once

#include "core/time_types.h"

#include <map>
#include <optional>
#include <string>

namespace parsleyglade {

/**
 * Knows for each host how long ago at least it was last sent an order, by this leader or an earlier one. Different leaders must not order the same host
 * within the platform's lease, so a leader that resigns passes these ages on to its successor. The times are on the local steady clock: wall clocks jump.
 */
class host_order_history
{
public:
    /** Notes an order of an earlier leader. @param latest latest time at which it may have been sent */
    void restore(const std::string &host, time_point latest);

    /** Notes that an order for the host is about to be sent. Each call needs one of noteResult(). */
    void noteSent(const std::string &host);

    /** Notes that an order was sent before now. @param mayArriveLate it had no answer, so that it may still be under way */
    void noteResult(const std::string &host, bool mayArriveLate, time_point now);

    /** Returns the least time since any order for the host: zero while one may be under way, nothing if no recent order is known. */
    std::optional<duration> age(const std::string &host, time_point now) const;

private:
    struct host_orders
    {
        time_point latest{};
        int inFlight = 0;
        time_point mayArriveUntil{}; /**< An order without an answer may be carried out until this time. */
    };

    std::map<std::string, host_orders> m_hosts;
};

} // namespace parsleyglade
