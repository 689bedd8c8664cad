#pragma once

#include "core/time_types.h"
#include "core/timer_subscription.h"

#include <functional>

namespace parsleyglade {

/** Source of time and timers. Callbacks run on the thread that drives the service. @see event_loop, manual_timer_service */
class timer_service
{
public:
    timer_service() = default;
    timer_service(const timer_service &) = delete;
    timer_service &operator=(const timer_service &) = delete;
    virtual ~timer_service() = default;

    /** Returns the monotonic time, which never decreases. */
    virtual time_point now() const = 0;

    /** Returns the wall time, which may jump in either direction. */
    virtual wall_time wallNow() const = 0;

    /** Calls the callback once in each interval until the returned subscription is cancelled or destroyed. @pre interval > 0 */
    [[nodiscard]] virtual timer_subscription every(duration interval, std::function<void()> callback) = 0;

    /** Calls the callback once after the delay, unless the returned subscription is cancelled or destroyed first. */
    [[nodiscard]] virtual timer_subscription after(duration delay, std::function<void()> callback) = 0;
};

} // namespace parsleyglade
