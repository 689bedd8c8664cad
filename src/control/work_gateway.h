#pragma once

#include "control/control_settings.h"
#include "control/leadership_task.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/** Sends calls to the leader, and retries them across changes of leader until the deadline of the call. */
class work_gateway
{
public:
    /** Whether the leader has replied in time, and if not, whether the call may have been carried out. */
    enum class delivery_status {
        responded, /**< The leader has replied. */
        not_reached, /**< No reply, and the call was certainly not carried out. */
        unknown, /**< No reply, and the call may have been carried out. */
    };

    /** Result of a call. */
    struct result
    {
        delivery_status delivery = delivery_status::responded;
        wire::work_reply reply; /**< Set when the leader has replied. */
        std::string reason; /**< Why there is no reply; empty when there is one. */
    };

    /** @param loop, leadership, settings must outlive the gateway. */
    work_gateway(event_loop &loop, leadership_task &leadership, const control_settings &settings);
    work_gateway(const work_gateway &) = delete;
    work_gateway &operator=(const work_gateway &) = delete;
    ~work_gateway() = default;

    /** Sends the call. The callback runs once, at the latest at the deadline. A call fails early when no leader could be reached for several
        seconds, unless it may already have been received. */
    void send(const wire::work_call &call, time_point deadline, std::function<void(const result &)> done);

private:
    struct pending_call;

    void attempt(const std::shared_ptr<pending_call> &current);
    void handleReply(const std::shared_ptr<pending_call> &current, int number, const outcome<wire::work_reply> &reply);
    void finish(const std::shared_ptr<pending_call> &current, const result &callResult);

    event_loop &m_loop;
    leadership_task &m_leadership;
    const control_settings &m_settings;
};

} // namespace parsleyglade
