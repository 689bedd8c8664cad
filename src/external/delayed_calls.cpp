#include "external/delayed_calls.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace parsleyglade {

struct delayed_calls::queue : std::enable_shared_from_this<queue>
{
    using position = std::pair<time_point, std::uint64_t>;

    explicit queue(timer_service &service)
        : timers(service)
    {
    }

    void arm()
    {
        if (closed || pending.empty() || (armed && armedFor <= pending.begin()->first.first)) {
            return;
        }

        armed = true;
        armedFor = pending.begin()->first.first;
        const duration delay = std::max(duration::zero(), armedFor - timers.now());
        timer = timers.after(delay, [weak = weak_from_this()] {
            if (const auto owner = weak.lock()) {
                owner->runDue();
            }
        });
    }

    void runDue()
    {
        armed = false;

        // A function that is scheduled while the due ones run has a higher number and runs at the next timer event.
        const std::uint64_t end = nextNumber;
        const time_point now = timers.now();
        while (!closed && !pending.empty() && pending.begin()->first.first <= now && pending.begin()->first.second < end) {
            const auto node = pending.extract(pending.begin());
            node.mapped()();
        }

        arm();
    }

    timer_service &timers;
    std::map<position, std::function<void()>> pending;
    std::uint64_t nextNumber = 0;
    timer_subscription timer;
    time_point armedFor;
    bool armed = false;
    bool closed = false;
};

delayed_calls::delayed_calls(timer_service &timers)
    : m_queue(std::make_shared<queue>(timers))
{
}

delayed_calls::~delayed_calls()
{
    m_queue->closed = true;
    m_queue->timer.cancel();
    m_queue->pending.clear();
}

void delayed_calls::after(duration delay, std::function<void()> function)
{
    const time_point due = m_queue->timers.now() + std::max(delay, duration::zero());
    m_queue->pending.emplace(queue::position{due, m_queue->nextNumber++}, std::move(function));
    m_queue->arm();
}

} // namespace parsleyglade
