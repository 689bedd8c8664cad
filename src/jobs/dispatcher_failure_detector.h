#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <map>

namespace parsleyglade {

/** Remembers when each dispatcher was last heard of, so that the claims of a lost one can be recorded as unknown. */
class dispatcher_failure_detector
{
public:
    /** @param lostTimeout time without a sign of life after which a dispatcher counts as lost */
    explicit dispatcher_failure_detector(duration lostTimeout);

    /**
     * Notes that the observer itself runs.
     *
     * After a pause of the observer's own process every dispatcher gets the time of the pause added, since silence that nobody listened to is no sign.
     */
    void observe(time_point now);

    /** Notes a sign of life. */
    void recordActivity(incarnation_id dispatcher, time_point now);

    /** Notes that the dispatcher's process has been replaced or has ended. */
    void recordExit(incarnation_id dispatcher);

    /** Whether the dispatcher is lost. A dispatcher that was never heard of counts from the first question. */
    bool isLost(incarnation_id dispatcher, time_point now);

private:
    struct dispatcher_activity
    {
        time_point lastSeenAt{};
        bool hasExited = false;
    };

    duration m_lostTimeout;
    time_point m_observedAt{};
    bool m_hasObserved = false;
    std::map<incarnation_id, dispatcher_activity> m_activity;
};

} // namespace parsleyglade
