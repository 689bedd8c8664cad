#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <map>

namespace parsleyglade {

/** Detects lost dispatchers by the time of their last activity, so that their open claims can be recorded as unknown. */
class dispatcher_failure_detector
{
public:
    /** @param lostTimeout time without activity after which a dispatcher is considered lost */
    explicit dispatcher_failure_detector(duration lostTimeout);

    /**
     * Records that the observing process itself is running; must be called regularly.
     *
     * If more than a quarter of the timeout has passed since the previous call, this process was paused and could not receive heartbeats. The length of the
     * pause is then added to the time of each dispatcher's last activity.
     */
    void observe(time_point now);

    /** Records activity of a dispatcher, such as a heartbeat. */
    void recordActivity(incarnation_id dispatcher, time_point now);

    /** Records that a dispatcher's process has exited or been replaced. */
    void recordExit(incarnation_id dispatcher);

    /** Whether a dispatcher is lost. For an unknown dispatcher the timeout starts with the first call. */
    bool isLost(incarnation_id dispatcher, time_point now);

private:
    struct dispatcher_activity
    {
        time_point lastActivityAt{};
        bool hasExited = false;
    };

    duration m_lostTimeout;
    time_point m_observedAt{};
    bool m_hasObserved = false;
    std::map<incarnation_id, dispatcher_activity> m_activity;
};

} // namespace parsleyglade
