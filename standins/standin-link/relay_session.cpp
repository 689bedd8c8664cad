#include "relay_session.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace parsleyglade {

relay_session::relay_session(event_loop &loop, const link_faults &faults)
    : m_loop(loop)
    , m_faults(faults)
{
}

relay_session::~relay_session()
{
    for (bufferevent *buffer : m_buffers) {
        if (buffer != nullptr) {
            bufferevent_free(buffer);
        }
    }
}

void relay_session::start(int accepted, const socket_address &target)
{
    m_loop.retain(shared_from_this());
    m_buffers[caller_side] = bufferevent_socket_new(m_loop.base(), accepted, BEV_OPT_CLOSE_ON_FREE);
    m_buffers[target_side] = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);

    for (const side from : {caller_side, target_side}) {
        m_directions[from] = {this, from};
        const auto onRead = [](bufferevent *, void *argument) {
            const auto *readDirection = static_cast<direction *>(argument);
            readDirection->owner->scheduleForward(readDirection->from);
        };
        const auto onEvent = [](bufferevent *, short events, void *argument) {
            if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                static_cast<direction *>(argument)->owner->close();
            }
        };
        bufferevent_setcb(m_buffers[from], onRead, nullptr, onEvent, &m_directions[from]);
        bufferevent_enable(m_buffers[from], EV_READ | EV_WRITE);
    }

    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.address.c_str(), &socketAddress.sin_addr);
    bufferevent_socket_connect(m_buffers[target_side], reinterpret_cast<sockaddr *>(&socketAddress), sizeof(socketAddress));
}

bool relay_session::isPartitioned(side from) const
{
    return from == caller_side ? m_faults.isPartitionedToTarget : m_faults.isPartitionedFromTarget;
}

bool relay_session::isClosed() const
{
    return m_isClosed;
}

void relay_session::scheduleForward(side from)
{
    if (m_faults.latency > duration::zero()) {
        const auto timer = std::make_shared<timer_subscription>();
        *timer = m_loop.after(m_faults.latency, [self = shared_from_this(), from, timer] { self->forward(from); });
        return;
    }
    forward(from);
}

void relay_session::forward(side from)
{
    if (m_isClosed || isPartitioned(from)) {
        return;
    }
    bufferevent_write_buffer(m_buffers[from == caller_side ? target_side : caller_side], bufferevent_get_input(m_buffers[from]));
}

void relay_session::applyFaults()
{
    scheduleForward(caller_side);
    scheduleForward(target_side);
}

void relay_session::close()
{
    // In a partition neither side detects that the other has closed.
    if (m_isClosed || m_faults.isPartitionedToTarget || m_faults.isPartitionedFromTarget) {
        return;
    }

    m_isClosed = true;
    for (bufferevent *buffer : m_buffers) {
        bufferevent_setcb(buffer, nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(buffer, EV_READ);
    }

    // Bytes received before the close are still forwarded.
    constexpr duration flushTime = std::chrono::milliseconds{50};
    bufferevent_write_buffer(m_buffers[target_side], bufferevent_get_input(m_buffers[caller_side]));
    bufferevent_write_buffer(m_buffers[caller_side], bufferevent_get_input(m_buffers[target_side]));
    const auto timer = std::make_shared<timer_subscription>();
    *timer = m_loop.after(flushTime, [this, timer] { m_loop.release(this); });
}

} // namespace parsleyglade
