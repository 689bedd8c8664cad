#pragma once

#include "control/control_settings.h"
#include "control/leadership_task.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/** Carries callers' calls to the leader, through changes of leader, until the caller's deadline. */
class work_gateway
{
public:
    /** What a caller is told when no reply came in time. */
    enum class delivery_status {
        answered, /**< There is a reply. */
        not_reached, /**< Certainly not carried out. */
        unknown, /**< May have been carried out. */
    };

    struct result
    {
        delivery_status delivery = delivery_status::answered;
        wire::work_reply reply;
        std::string reason;
    };

    work_gateway(event_loop &loop, leadership_task &leadership, const control_settings &settings);
    work_gateway(const work_gateway &) = delete;
    work_gateway &operator=(const work_gateway &) = delete;
    ~work_gateway() = default;

    /** Sends the call; the callback runs once, at the latest at the deadline. A call that leads nowhere ends at once. */
    void send(const wire::work_call &call, time_point deadline, std::function<void(const result &)> done);

private:
    struct pending_call;

    void attempt(const std::shared_ptr<pending_call> &current);
    void handleReply(const std::shared_ptr<pending_call> &current, int number, const outcome<wire::work_reply> &reply);
    void finish(const std::shared_ptr<pending_call> &current, const result &found);

    event_loop &m_loop;
    leadership_task &m_leadership;
    const control_settings &m_settings;
};

} // namespace parsleyglade
