#pragma once

#include "core/timer_service.h"

#include <cstdint>
#include <map>
#include <memory>

namespace parsleyglade {

/** A timer service whose time advances only when advance() is called; for tests and measurements in virtual time. */
class manual_timer_service final : public timer_service
{
public:
    manual_timer_service();
    ~manual_timer_service() override;

    time_point now() const override;
    wall_time wallNow() const override;
    timer_subscription every(duration interval, std::function<void()> callback) override;
    timer_subscription after(duration delay, std::function<void()> callback) override;

    /** Advances both clocks and runs each timer that becomes due, in order of due time and then of subscription. */
    void advance(duration step);

    /** Sets the wall time without changing the monotonic time, which simulates a clock jump. */
    void setWallNow(wall_time wall);

private:
    struct schedule;

    timer_subscription add(duration delay, duration interval, std::function<void()> callback);

    std::shared_ptr<schedule> m_schedule;
};

} // namespace parsleyglade
