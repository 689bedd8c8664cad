#include "runtime/event_loop.h"

#include <cassert>
#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <list>
#include <stdexcept>
#include <unordered_map>
#include <vector>

namespace parsleyglade {

namespace {

struct base_deleter
{
    void operator()(event_base *base) const
    {
        event_base_free(base);
    }
};

struct event_deleter
{
    void operator()(event *handle) const
    {
        event_free(handle);
    }
};

using event_pointer = std::unique_ptr<event, event_deleter>;

timeval toTimeval(duration value)
{
    const auto count = std::max(value, duration::zero()).count();
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    return {static_cast<time_t>(count / microsecondsPerSecond), static_cast<suseconds_t>(count % microsecondsPerSecond)};
}

struct timer_state
{
    event_pointer handle;
    std::function<void()> callback;
    bool isRepeating = false;
    std::shared_ptr<timer_state> self; /**< Keeps the timer alive while it is pending. */
};

void runTimer(evutil_socket_t, short, void *argument)
{
    const auto timer = static_cast<timer_state *>(argument)->self;
    const auto callback = timer->callback;
    if (!timer->isRepeating) {
        timer->self.reset();
    }
    callback();
}

struct signal_state
{
    event_pointer handle;
    std::function<void()> callback;
};

void runSignal(evutil_socket_t, short, void *argument)
{
    static_cast<signal_state *>(argument)->callback();
}

} // namespace

struct event_loop::state
{
    std::unique_ptr<event_base, base_deleter> base;
    std::vector<std::function<void()>> messages;
    std::unordered_map<const void *, std::shared_ptr<void>> sessions;
    std::list<signal_state> signals;
    event_pointer wakeEvent;

    static void runMessages(evutil_socket_t, short, void *argument)
    {
        auto *owner = static_cast<state *>(argument);
        const auto messages = std::exchange(owner->messages, {});
        for (const auto &message : messages) {
            message();
        }
    }
};

event_loop::event_loop()
    : m_state(std::make_unique<state>())
{
    // The transport handles errors of writes to closed sockets; SIGPIPE would terminate the process.
    std::signal(SIGPIPE, SIG_IGN);

    // libevent's default clock has a resolution of 4 ms, which would delay each claim by half an append interval.
    const std::unique_ptr<event_config, void (*)(event_config *)> configuration(event_config_new(), event_config_free);
    event_config_set_flag(configuration.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    // Changes of the watched events are passed to the kernel once in each iteration. No descriptor is duplicated, which this mode does not support.
    event_config_set_flag(configuration.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    m_state->base.reset(event_base_new_with_config(configuration.get()));
    if (!m_state->base) {
        throw std::runtime_error("libevent could not create an event base");
    }
    m_state->wakeEvent.reset(event_new(m_state->base.get(), -1, 0, state::runMessages, m_state.get()));
}

event_loop::~event_loop()
{
    // Sessions and messages may own timers and sockets, which must be destroyed before the event base.
    while (!m_state->sessions.empty() || !m_state->messages.empty()) {
        const auto sessions = std::exchange(m_state->sessions, {});
        const auto messages = std::exchange(m_state->messages, {});
    }
    m_state->signals.clear();
    m_state->wakeEvent.reset();
}

time_point event_loop::now() const
{
    // CLOCK_BOOTTIME includes the time for which the machine was suspended, because the leases of other processes continue meanwhile.
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point{std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec))};
}

wall_time event_loop::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

static timer_subscription addTimer(event_base *base, duration delay, bool isRepeating, std::function<void()> callback)
{
    const auto timer = std::make_shared<timer_state>();
    timer->callback = std::move(callback);
    timer->isRepeating = isRepeating;
    timer->self = timer;
    timer->handle.reset(event_new(base, -1, isRepeating ? EV_PERSIST : 0, runTimer, timer.get()));

    const timeval interval = toTimeval(delay);
    event_add(timer->handle.get(), &interval);

    return timer_subscription{[weak = std::weak_ptr<timer_state>(timer)] {
        if (const auto pending = weak.lock()) {
            event_del(pending->handle.get());
            pending->self.reset();
        }
    }};
}

timer_subscription event_loop::every(duration interval, std::function<void()> callback)
{
    assert(interval > duration::zero());
    return addTimer(m_state->base.get(), interval, true, std::move(callback));
}

timer_subscription event_loop::after(duration delay, std::function<void()> callback)
{
    return addTimer(m_state->base.get(), delay, false, std::move(callback));
}

void event_loop::post(std::function<void()> message)
{
    m_state->messages.push_back(std::move(message));
    event_active(m_state->wakeEvent.get(), EV_TIMEOUT, 0);
}

void event_loop::retain(std::shared_ptr<void> session)
{
    const void *key = session.get();
    m_state->sessions[key] = std::move(session);
}

void event_loop::release(const void *session)
{
    auto node = m_state->sessions.extract(session);
    if (!node.empty()) {
        post([held = std::move(node.mapped())] {});
    }
}

void event_loop::onSignal(int signal, std::function<void()> callback)
{
    signal_state &added = m_state->signals.emplace_back();
    added.callback = std::move(callback);
    added.handle.reset(evsignal_new(m_state->base.get(), signal, runSignal, &added));
    event_add(added.handle.get(), nullptr);
}

void event_loop::run()
{
    event_base_loop(m_state->base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(m_state->base.get());
}

event_base *event_loop::base() const
{
    return m_state->base.get();
}

} // namespace parsleyglade
