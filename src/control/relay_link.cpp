#include "control/relay_link.h"

#include "control/relay_messages.h"
#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace parsleyglade {

namespace {

/** A decoded result and the callback that waits for it. */
template <typename Response> struct completion
{
    std::function<void(Response)> done;
    Response response;
};

using any_completion = std::variant<completion<order_response>, completion<poll_response>>;

/** Decodes a result as the type of response that the callback expects. */
any_completion makeCompletion(std::variant<relay_link::order_callback, relay_link::poll_callback> &&done, const wire::relay_result &result)
{
    if (auto *order = std::get_if<relay_link::order_callback>(&done)) {
        return completion<order_response>{std::move(*order), decodeOrderResponse(result)};
    }
    return completion<poll_response>{std::move(std::get<relay_link::poll_callback>(done)), decodePollResponse(result)};
}

/** Whether the executor has responded. */
bool isContact(const wire::relay_result &result)
{
    const order_result code = decodeOrderResponse(result).result;
    return !isUnsent(code) && code != order_result::unanswered;
}

} // namespace

relay_link::relay_link(event_loop &loop, const peer_settings &peers, const relay_settings &settings, leader_load &load, std::string address, listener &events)
    : m_loop(loop)
    , m_settings(settings)
    , m_load(load)
    , m_address(std::move(address))
    , m_hashSeed(hash64(m_address))
    , m_listener(events)
    , m_link(loop, peers, m_address, [this](bool isReady) { handleLinkState(isReady); })
    , m_openedAt(loop.now())
    , m_nextNumber(m_openedAt.time_since_epoch().count())
{
    m_batch.__isset.relayOrders = true;
    m_heartbeatTimer = m_loop.every(m_settings.heartbeatInterval, [this] { checkHeartbeat(); });
    m_timeoutTimer = m_loop.every(m_settings.timeoutCheckInterval, [this] { checkTimeouts(); });
}

const std::string &relay_link::address() const
{
    return m_address;
}

std::uint64_t relay_link::hashSeed() const
{
    return m_hashSeed;
}

relay_link::link_state relay_link::state() const
{
    return m_state;
}

std::size_t relay_link::ordersInFlight() const
{
    return m_pending.size();
}

std::size_t relay_link::pollsInFlight() const
{
    return m_pollsInFlight;
}

void relay_link::start(const start_order &order, order_callback done)
{
    wire::relay_order &added = add(order, m_settings.orderTimeout, std::move(done));
    added.payload = payloadIndex(order);
}

void relay_link::stop(const stop_order &order, order_callback done)
{
    add(order, m_settings.orderTimeout, std::move(done));
}

void relay_link::pace(const pace_order &order, order_callback done)
{
    add(order, m_settings.orderTimeout, std::move(done));
}

void relay_link::poll(const poll_order &order, poll_callback done)
{
    const wire::relay_order &added = add(order, order.wait + m_settings.pollTimeout, std::move(done));
    m_pending[added.number].polledExecutor = order.target.executor;
    ++m_pollsInFlight;
}

template <typename Order, typename Callback> wire::relay_order &relay_link::add(const Order &order, duration timeout, Callback done)
{
    if (m_batchBytes >= m_settings.messageBytes) {
        flush();
    }
    wire::relay_order &added = m_batch.relayOrders.orders.emplace_back();
    added.number = m_nextNumber++;
    encodeOrder(order, added);
    m_batchBytes += encodedSize(added);
    m_batchValidUntil = std::min(m_batchValidUntil, order.target.validUntil);
    pending_order &pending = m_pending[added.number];
    pending.deadline = m_loop.now() + timeout + m_settings.timeoutMargin;
    pending.done = std::move(done);
    return added;
}

/** Index of the payload of the order in the batch, which gets it when no earlier order of the job has added it. */
std::int32_t relay_link::payloadIndex(const start_order &order)
{
    std::vector<std::string> &payloads = m_batch.relayOrders.payloads;
    const auto next = static_cast<std::int32_t>(payloads.size());
    const auto [found, isNew] = m_payloadIndexes.try_emplace(order.task.job, next);
    if (!isNew && payloads[static_cast<std::size_t>(found->second)] == order.payload) {
        return found->second;
    }
    found->second = next;
    payloads.push_back(order.payload);
    m_batchBytes += order.payload.size();
    return next;
}

void relay_link::flush()
{
    wire::relay_orders &batch = m_batch.relayOrders;
    if (batch.orders.empty()) {
        return;
    }
    const leader_load::scope scope(m_load, leader_part::relay_encoding);
    const time_point now = m_loop.now();
    // The relay's estimate of when the message was sent can be too late by as much as the opening message took.
    const duration valid = std::min(m_batchValidUntil - now - m_settings.maximumRoundTrip, m_settings.orderTimeout);
    batch.sentMicroseconds = now.time_since_epoch().count();
    batch.validMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(valid).count();
    if (batch.validMilliseconds <= 0) {
        failBatch("the leadership lease has expired");
        return;
    }
    if (!m_link.sendTo(m_subscription, m_batch)) {
        failBatch("the message to relay " + m_address + " could not be sent");
        return;
    }
    ++m_load.relays().messages;
    m_load.relays().relayedOrders += batch.orders.size();
    clearBatch();
}

void relay_link::clearBatch()
{
    m_batch.relayOrders.orders.clear();
    m_batch.relayOrders.payloads.clear();
    m_payloadIndexes.clear();
    m_batchBytes = 0;
    m_batchValidUntil = time_point::max();
}

/** Completes the orders of the batch as not sent. */
void relay_link::failBatch(const std::string &reason)
{
    std::vector<std::int64_t> numbers;
    for (const wire::relay_order &order : m_batch.relayOrders.orders) {
        numbers.push_back(order.number);
    }
    clearBatch();
    for (const std::int64_t number : numbers) {
        complete(number, order_result::not_sent, reason);
    }
}

void relay_link::handleLinkState(bool isReady)
{
    if (m_state == link_state::lost) {
        return;
    }
    if (!isReady) {
        lose("the connection was lost");
        return;
    }
    m_subscription = m_link.subscribe([this](const wire::peer_message &message) { handleMessage(message); });
    checkHeartbeat();
}

/** Sends a message without orders, to which the relay replies at once, or gives the relay up when it has not replied to the last one. */
void relay_link::checkHeartbeat()
{
    const time_point now = m_loop.now();
    if (m_state == link_state::lost) {
        return;
    }
    if (m_state == link_state::opening && now - m_openedAt > m_settings.openingTimeout) {
        lose("no reply in time to an opening message");
        return;
    }
    if (m_isHeartbeatInFlight) {
        if (++m_heartbeatChecks >= m_settings.minimumHeartbeatChecks && now - m_heartbeatSentAt > m_settings.silenceTimeout) {
            lose("no reply to a heartbeat");
        }
        return;
    }
    wire::peer_message message;
    message.__isset.relayOrders = true;
    message.relayOrders.sentMicroseconds = now.time_since_epoch().count();
    m_isHeartbeatInFlight = m_link.sendTo(m_subscription, message);
    m_heartbeatSentAt = now;
    m_heartbeatChecks = 0;
}

void relay_link::handleMessage(const wire::peer_message &message)
{
    if (!message.__isset.relayResults || m_state == link_state::lost) {
        return;
    }
    const wire::relay_results &results = message.relayResults;
    if (results.leaving) {
        leave("it takes no further orders");
    }
    if (results.results.empty()) {
        handleHeartbeatReply();
    } else {
        handleResults(results.results);
    }
}

void relay_link::handleHeartbeatReply()
{
    const duration roundTrip = m_loop.now() - m_heartbeatSentAt;
    const bool isInTime = std::exchange(m_isHeartbeatInFlight, false) && roundTrip <= m_settings.maximumRoundTrip;
    if (m_state == link_state::opening && isInTime) {
        m_state = link_state::ready;
        m_listener.relayReady(*this, roundTrip);
    }
}

void relay_link::handleResults(const std::vector<wire::relay_result> &results)
{
    std::vector<any_completion> completions;
    {
        // The callbacks below count as parts of their own.
        const leader_load::scope scope(m_load, leader_part::relay_results);
        completions.reserve(results.size());
        for (const wire::relay_result &result : results) {
            const auto node = m_pending.extract(result.number);
            if (node.empty()) {
                continue; // it has timed out
            }
            m_pollsInFlight -= std::holds_alternative<poll_callback>(node.mapped().done) ? 1 : 0;
            noteContact(node.mapped(), result);
            completions.push_back(makeCompletion(std::move(node.mapped().done), result));
        }
        m_load.relays().relayedResults += completions.size();
    }
    for (any_completion &item : completions) {
        std::visit([](auto &ready) { ready.done(std::move(ready.response)); }, item);
    }
    if (m_silentExecutors.size() >= m_settings.maximumSilentExecutors) {
        leave("its executors do not respond to it");
    }
}

/** Counts the executors that have not responded since the last one that has. */
void relay_link::noteContact(const pending_order &order, const wire::relay_result &result)
{
    if (isContact(result)) {
        m_silentExecutors.clear();
    } else if (!order.polledExecutor.empty()) {
        m_silentExecutors.insert(order.polledExecutor);
    }
}

void relay_link::checkTimeouts()
{
    const time_point now = m_loop.now();
    std::vector<std::int64_t> expired;
    for (const auto &[number, order] : m_pending) {
        if (order.deadline <= now) {
            expired.push_back(number);
        }
    }
    for (const std::int64_t number : expired) {
        ++m_load.relays().unansweredOrders;
        complete(number, order_result::unanswered, "no result from relay " + m_address + " before the timeout");
    }
}

void relay_link::complete(std::int64_t number, order_result result, const std::string &reason)
{
    const auto node = m_pending.extract(number);
    if (node.empty()) {
        return;
    }
    if (auto *order = std::get_if<order_callback>(&node.mapped().done)) {
        order_response response;
        response.result = result;
        response.reason = reason;
        (*order)(std::move(response));
        return;
    }
    --m_pollsInFlight;
    poll_response response;
    response.result = result;
    std::get<poll_callback>(node.mapped().done)(std::move(response));
}

void relay_link::leave(const std::string &reason)
{
    if (m_state == link_state::opening || m_state == link_state::ready) {
        m_state = link_state::leaving;
        m_listener.relayLeaving(*this, reason);
    }
}

void relay_link::lose(const std::string &reason)
{
    m_state = link_state::lost;
    m_heartbeatTimer.cancel();
    m_timeoutTimer.cancel();
    m_listener.relayLost(*this, reason);

    const std::string description = "relay " + m_address + ": " + reason;
    failBatch(description);
    std::vector<std::int64_t> numbers;
    for (const auto &[number, order] : m_pending) {
        numbers.push_back(number);
    }
    m_load.relays().unansweredOrders += numbers.size();
    for (const std::int64_t number : numbers) {
        complete(number, order_result::unanswered, description);
    }
}

} // namespace parsleyglade
