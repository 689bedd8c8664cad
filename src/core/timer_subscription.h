#pragma once

#include <functional>
#include <utility>

namespace parsleyglade {

/** Handle that cancels a timer when it is destroyed. Move-only. Owned by the subscriber; must not outlive the timer service. */
class timer_subscription
{
public:
    timer_subscription() = default;

    /** @param cancelTimer Cancels the timer; called at most once. */
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

    /** Cancels the timer. Has no effect on a timer that was already cancelled, or on a single-shot timer that has fired. */
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
