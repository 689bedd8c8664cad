#pragma once

#include <functional>
#include <utility>

namespace parsleyglade {

/** Ends a timer when destroyed or cancelled. Move-only; owned by the subscriber, and must not outlive its timer service. */
class timer_subscription
{
public:
    timer_subscription() = default;

    explicit timer_subscription(std::function<void()> cancelTimer)
        : m_cancelTimer(std::move(cancelTimer))
    {
    }

    timer_subscription(timer_subscription &&other) noexcept
        : m_cancelTimer(std::exchange(other.m_cancelTimer, nullptr))
    {
    }

    timer_subscription &operator=(timer_subscription &&other) noexcept
    {
        if (this != &other) {
            cancel();
            m_cancelTimer = std::exchange(other.m_cancelTimer, nullptr);
        }
        return *this;
    }

    timer_subscription(const timer_subscription &) = delete;
    timer_subscription &operator=(const timer_subscription &) = delete;

    ~timer_subscription()
    {
        cancel();
    }

    /** Ends the timer. Does nothing the second time, or after a single-shot timer has fired. */
    void cancel()
    {
        if (auto cancelTimer = std::exchange(m_cancelTimer, nullptr)) {
            cancelTimer();
        }
    }

private:
    std::function<void()> m_cancelTimer;
};

} // namespace parsleyglade
