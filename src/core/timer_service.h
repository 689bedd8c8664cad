#pragma once

#include "core/time_types.h"
#include "core/timer_subscription.h"

#include <functional>

namespace parsleyglade {

/** Source of time and timers that parts subscribe to. Callbacks run on the owner's thread. @see manual_timer_service */
class timer_service
{
public:
    timer_service() = default;
    timer_service(const timer_service &) = delete;
    timer_service &operator=(const timer_service &) = delete;
    virtual ~timer_service() = default;

    /** Monotonic time; never goes backwards. */
    virtual time_point now() const = 0;

    /** Wall time; may jump in either direction. */
    virtual wall_time wallNow() const = 0;

    /** Calls back at each interval until the subscription ends. @pre interval > 0 */
    [[nodiscard]] virtual timer_subscription every(duration interval, std::function<void()> callback) = 0;

    /** Calls back once after the delay unless the subscription ends first. */
    [[nodiscard]] virtual timer_subscription after(duration delay, std::function<void()> callback) = 0;
};

} // namespace parsleyglade
