#include "control/leader_task.h"

#include <type_traits>

namespace parsleyglade {

namespace {

/** The parts of an order that its response is judged by. The payload and the checkpoint may be large. */
start_order withoutTexts(const start_order &order)
{
    return {order.target, order.task, order.run, {}, {}, {}, order.leaseEnd};
}

} // namespace

void leader_task::performActions()
{
    const leader_load::scope scope(m_load, leader_part::actions);
    std::vector<scheduler_action> actions = m_scheduler->takeActions();
    for (scheduler_action &action : actions) {
        perform(action);
    }
}

void leader_task::sendPolls()
{
    if (!hasLeadershipLease() || m_isResigning) {
        return;
    }
    const leader_load::scope scope(m_load, leader_part::polls);
    for (poll_order &order : m_scheduler->takePolls(m_loop.now())) {
        sendPoll(order);
    }
}

void leader_task::perform(scheduler_action &action)
{
    std::visit(
        [this](auto &item) {
            using item_type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<item_type, start_order>) {
                item.target.validUntil = leadershipLeaseEnd();
                sendStart(item);
            } else if constexpr (std::is_same_v<item_type, stop_order>) {
                item.target.validUntil = leadershipLeaseEnd();
                sendStop(item);
            } else if constexpr (std::is_same_v<item_type, pace_order>) {
                item.target.validUntil = leadershipLeaseEnd();
                if (hasLeadershipLease()) {
                    m_executors.pace(item, [](const order_response &) {
                        // The next poll returns the pace in force; the scheduler repeats the order if it was not applied.
                    });
                }
            } else if constexpr (std::is_same_v<item_type, call_response>) {
                const auto found = m_pendingCalls.extract(item.token);
                if (!found.empty()) {
                    found.mapped()(item.reply);
                }
            } else {
                m_metrics.countDecision(item.decision);
                if (!m_decisions.acceptsInfo()) {
                    return;
                }
                const std::string inputs = item.inputText();
                m_decisions.info(std::string(item.decision) + (inputs.empty() ? "" : ' ' + inputs),
                                 {{"job", item.jobText()}, {"task", item.taskText()}, {"executor", item.executor}, {"host", item.host}});
            }
        },
        action);
}

void leader_task::sendStart(const start_order &order)
{
    const time_point sentAt = m_loop.now();
    if (!hasLeadershipLease()) {
        order_response notSent;
        notSent.result = order_result::not_sent;
        notSent.reason = "the leadership lease has expired";
        m_scheduler->handleStartResponse(order, notSent, sentAt, sentAt);
        return;
    }
    m_executors.start(order, [this, sent = withoutTexts(order), sentAt, alive = alive()](const order_response &response) {
        if (alive.lock()) {
            const leader_load::scope scope(m_load, leader_part::order_responses);
            m_scheduler->handleStartResponse(sent, response, sentAt, m_loop.now());
            scheduleRun();
        }
    });
}

void leader_task::sendStop(const stop_order &order)
{
    const time_point sentAt = m_loop.now();
    if (!hasLeadershipLease()) {
        order_response notSent;
        notSent.result = order_result::not_sent;
        m_scheduler->handleStopResponse(order, notSent, sentAt, sentAt);
        return;
    }
    m_executors.stop(order, [this, order, sentAt, alive = alive()](const order_response &response) {
        if (alive.lock()) {
            m_scheduler->handleStopResponse(order, response, sentAt, m_loop.now());
            scheduleRun();
        }
    });
}

void leader_task::sendPoll(poll_order &order)
{
    const time_point sentAt = m_loop.now();
    order.target.validUntil = leadershipLeaseEnd();
    m_executors.poll(order, [this, id = order.target.executor, sentAt, alive = alive()](const poll_response &response) {
        if (alive.lock()) {
            const leader_load::scope scope(m_load, leader_part::poll_responses);
            m_scheduler->handlePollResponse(id, response, sentAt, m_loop.now());
            scheduleRun();
        }
    });
}

} // namespace parsleyglade
