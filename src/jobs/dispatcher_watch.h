#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <map>

namespace parsleyglade {

/** Remembers when each dispatcher was last heard of, so that the claims of a lost one can be recorded as unknown. */
class dispatcher_watch
{
public:
    /** @param lostLimit time without a sign of life after which a dispatcher counts as lost */
    explicit dispatcher_watch(duration lostLimit);

    /**
     * Notes that the observer itself runs.
     *
     * After a pause of the observer's own process every dispatcher gets the time of the pause added, since silence that nobody listened to is no sign.
     */
    void observe(time_point now);

    /** Notes a sign of life. */
    void heard(incarnation_id dispatcher, time_point now);

    /** Notes that the dispatcher's process has been replaced or has ended. */
    void gone(incarnation_id dispatcher);

    /** Whether the dispatcher is lost. A dispatcher that was never heard of counts from the first question. */
    bool isLost(incarnation_id dispatcher, time_point now);

private:
    struct sign
    {
        time_point heardAt{};
        bool isGone = false;
    };

    duration m_lostLimit;
    time_point m_observedAt{};
    bool m_hasObserved = false;
    std::map<incarnation_id, sign> m_signs;
};

} // namespace parsleyglade
