#pragma once

#include "core/timer_service.h"

#include <functional>
#include <memory>

struct event_base;

namespace parsleyglade {

/** The process's single libevent loop: timers, posted messages and signals. All callbacks run on the thread that calls run(). */
class event_loop final : public timer_service
{
public:
    /** Also makes the process ignore SIGPIPE. Throws std::runtime_error if libevent can't create an event base. */
    event_loop();
    ~event_loop() override;

    time_point now() const override;
    wall_time wallNow() const override;
    timer_subscription every(duration interval, std::function<void()> callback) override;
    timer_subscription after(duration delay, std::function<void()> callback) override;

    /** Runs the message after the current callback has returned. Must be called on the loop's thread. */
    void post(std::function<void()> message);

    /** Keeps a session alive until it is released, or until the loop is destroyed. */
    void retain(std::shared_ptr<void> session);

    /** Releases a retained session after the current callback has returned, so that a session can release itself. */
    void release(const void *session);

    /** Calls the callback each time the process receives the signal. The loop owns the subscription. */
    void onSignal(int signal, std::function<void()> callback);

    /** Runs until stop() is called. */
    void run();

    /** Makes run() return once the current callback has returned. */
    void stop();

    /** Returns the libevent base, for the transports. Owned by the loop. */
    event_base *base() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace parsleyglade
