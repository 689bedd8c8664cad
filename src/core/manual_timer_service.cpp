#include "core/manual_timer_service.h"

#include <cassert>

namespace parsleyglade {

namespace {

constexpr wall_time initialWallTime{std::chrono::milliseconds{1'800'000'000'000}};

}

struct manual_timer_service::schedule
{
    struct entry
    {
        duration interval{};
        std::function<void()> callback;
    };

    using timer_key = std::pair<time_point, std::uint64_t>;

    time_point now{};
    std::chrono::microseconds wall = initialWallTime.time_since_epoch();
    std::uint64_t nextId = 1;
    std::map<timer_key, entry> entries;
};

manual_timer_service::manual_timer_service()
    : m_schedule(std::make_shared<schedule>())
{
}

manual_timer_service::~manual_timer_service() = default;

time_point manual_timer_service::now() const
{
    return m_schedule->now;
}

wall_time manual_timer_service::wallNow() const
{
    return wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(m_schedule->wall)};
}

timer_subscription manual_timer_service::every(duration interval, std::function<void()> callback)
{
    assert(interval > duration::zero());
    return add(interval, interval, std::move(callback));
}

timer_subscription manual_timer_service::after(duration delay, std::function<void()> callback)
{
    return add(delay, duration::zero(), std::move(callback));
}

void manual_timer_service::advance(duration step)
{
    const time_point end = m_schedule->now + step;

    while (!m_schedule->entries.empty() && m_schedule->entries.begin()->first.first <= end) {
        auto node = m_schedule->entries.extract(m_schedule->entries.begin());
        const time_point due = node.key().first;
        m_schedule->wall += due - m_schedule->now;
        m_schedule->now = due;

        const auto callback = node.mapped().callback;
        if (node.mapped().interval > duration::zero()) {
            node.key().first = due + node.mapped().interval;
            m_schedule->entries.insert(std::move(node));
        }
        callback();
    }

    m_schedule->wall += end - m_schedule->now;
    m_schedule->now = end;
}

void manual_timer_service::setWallNow(wall_time wall)
{
    m_schedule->wall = wall.time_since_epoch();
}

timer_subscription manual_timer_service::add(duration delay, duration interval, std::function<void()> callback)
{
    const std::uint64_t id = m_schedule->nextId++;
    m_schedule->entries.emplace(schedule::timer_key{m_schedule->now + delay, id}, schedule::entry{interval, std::move(callback)});

    return timer_subscription{[weak = std::weak_ptr<schedule>(m_schedule), id] {
        const auto owner = weak.lock();
        if (!owner) {
            return;
        }
        std::erase_if(owner->entries, [id](const auto &item) { return item.first.second == id; });
    }};
}

} // namespace parsleyglade
