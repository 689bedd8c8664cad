#pragma once

#include "core/timer_service.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/** Runs functions on a timer service after a delay, in order of due time, then of scheduling. Functions still pending at destruction never run. */
class delayed_calls
{
public:
    /** @param timers Must outlive this object. */
    explicit delayed_calls(timer_service &timers);
    delayed_calls(const delayed_calls &) = delete;
    delayed_calls &operator=(const delayed_calls &) = delete;
    ~delayed_calls();

    /** Schedules the function; it never runs before this call has returned. A negative delay counts as zero. The function may destroy this object. */
    void after(duration delay, std::function<void()> function);

private:
    struct queue;

    std::shared_ptr<queue> m_queue;
};

} // namespace parsleyglade
