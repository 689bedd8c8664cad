#include "control/relay_session.h"

#include "control/relay_messages.h"

#include <utility>

namespace parsleyglade {

relay_session::relay_session(event_loop &loop, executor_client &executors, const relay_settings &settings, std::shared_ptr<relay_work> work, std::string leader)
    : m_loop(loop)
    , m_executors(executors)
    , m_settings(settings)
    , m_work(std::move(work))
    , m_leader(std::move(leader))
{
    m_results.__isset.relayResults = true;
}

time_point relay_session::lastMessageAt() const
{
    return m_lastMessageAt;
}

void relay_session::leave()
{
    m_isLeaving = true;
    if (m_reply) {
        sendResults();
    }
}

void relay_session::handle(const wire::relay_orders &message, const peer_server::reply_function &reply)
{
    const time_point now = m_loop.now();
    const bool isFirst = m_lastMessageAt == time_point{};
    const bool isLate = isFirst ? !message.orders.empty() : now - m_lastMessageAt > m_settings.maximumSessionGap;
    if (isLate && !m_isClosed) {
        m_log.notice("closing the session of a leader: nothing was received for too long, or its opening message is missing",
                     {{"leader", m_leader}, {"orders", message.orders.size()}});
        m_isClosed = true;
    }
    m_lastMessageAt = now;
    m_reply = reply;
    const duration delay = m_offset.addMessage(time_point{duration{message.sentMicroseconds}}, now);
    if (message.orders.empty()) {
        if (!m_results.relayResults.results.empty()) {
            sendResults();
        }
        sendResults();
        return;
    }
    if (!std::exchange(m_hasOrders, true)) {
        m_log.notice("carries orders of a leader", {{"leader", m_leader}, {"orders", message.orders.size()}});
    }

    const duration valid = std::chrono::milliseconds{message.validMilliseconds} - delay;
    const std::string reason = rejectionReason(delay, valid);
    for (const wire::relay_order &order : message.orders) {
        ++m_work->orders;
        if (!reason.empty()) {
            reject(order, order_result::not_sent, reason);
        } else if (m_work->ordersInFlight >= m_settings.maximumOrdersInFlight) {
            reject(order, order_result::not_sent, "the relay has too many orders in flight");
        } else {
            carryOut(order, message.payloads, now + valid);
        }
    }
}

/** Why the orders of a message must not be carried out; empty if they may be. */
std::string relay_session::rejectionReason(duration delay, duration valid) const
{
    if (m_isClosed) {
        return "the relay has closed the session";
    }
    if (delay > m_settings.maximumDelay || valid < duration::zero()) {
        return "the order reached the relay too late, by ms " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(delay).count());
    }
    return {};
}

void relay_session::carryOut(const wire::relay_order &order, const std::vector<std::string> &payloads, time_point validUntil)
{
    switch (order.kind) {
    case wire::relay_order_kind::start: {
        if (order.payload < 0 || static_cast<std::size_t>(order.payload) >= payloads.size()) {
            reject(order, order_result::invalid, "the message has no such payload");
            return;
        }
        start_order start = decodeStart(order, validUntil);
        start.payload = payloads[static_cast<std::size_t>(order.payload)];
        m_executors.start(start, completion<order_response>(order.number));
        return;
    }
    case wire::relay_order_kind::stop:
        m_executors.stop(decodeStop(order, validUntil), completion<order_response>(order.number));
        return;
    case wire::relay_order_kind::pace:
        m_executors.pace(decodePace(order, validUntil), completion<order_response>(order.number));
        return;
    case wire::relay_order_kind::poll:
        m_executors.poll(decodePoll(order, validUntil), completion<poll_response>(order.number));
        return;
    }
    reject(order, order_result::invalid, "the kind of the order is unknown");
}

void relay_session::reject(const wire::relay_order &order, order_result result, const std::string &reason)
{
    ++m_work->rejectedOrders;
    order_response response;
    response.result = result;
    response.reason = reason;
    addResult(order.number, response);
}

/** A callback that adds the response to an order to the results, unless the session has been dropped. */
template <typename Response> std::function<void(Response)> relay_session::completion(std::int64_t number)
{
    ++m_work->ordersInFlight;
    return [weak = weak_from_this(), work = m_work, number](const Response &response) {
        --work->ordersInFlight;
        if (const auto self = weak.lock()) {
            self->addResult(number, response);
        }
    };
}

template <typename Response> void relay_session::addResult(std::int64_t number, const Response &response)
{
    wire::relay_result &added = m_results.relayResults.results.emplace_back();
    added.number = number;
    encodeResult(response, added);
    m_resultBytes += encodedSize(added);
    if (m_resultBytes >= m_settings.messageBytes) {
        sendResults();
    } else if (!std::exchange(m_isSendScheduled, true)) {
        m_sendTimer = m_loop.after(m_settings.resultInterval, [this] { sendResults(); });
    }
}

/** Sends the collected results. Without any the message is the reply to one without orders. */
void relay_session::sendResults()
{
    m_isSendScheduled = false;
    m_sendTimer.cancel();
    m_results.relayResults.leaving = m_isLeaving || m_isClosed;
    m_reply(m_results);
    ++m_work->messages;
    m_results.relayResults.results.clear();
    m_resultBytes = 0;
}

} // namespace parsleyglade
