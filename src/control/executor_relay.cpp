#include "control/executor_relay.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Sessions of former leaders are kept as well, so that a message of one that is read after a suspension is recognised as late.
constexpr std::size_t maximumSessions = 64;

} // namespace

executor_relay::executor_relay(event_loop &loop, executor_client &executors, const relay_settings &settings)
    : m_loop(loop)
    , m_executors(executors)
    , m_settings(settings)
{
}

bool executor_relay::handlePeer(const peer_identity &peer, const wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (!message.__isset.relayOrders) {
        return false;
    }
    const session_key key{static_cast<std::int64_t>(peer.incarnation), message.id};
    const auto found = m_sessions.find(key);
    const auto session = found == m_sessions.end() ? openSession(key, peer) : found->second;
    session->handle(message.relayOrders, reply);
    return true;
}

std::shared_ptr<relay_session> executor_relay::openSession(const session_key &key, const peer_identity &peer)
{
    if (m_sessions.size() >= maximumSessions) {
        m_sessions.erase(std::min_element(m_sessions.begin(), m_sessions.end(),
                                          [](const auto &left, const auto &right) { return left.second->lastMessageAt() < right.second->lastMessageAt(); }));
    }
    auto session = std::make_shared<relay_session>(m_loop, m_executors, m_settings, m_work, peer.entryHost);
    if (m_isLeaving) {
        session->leave();
    }
    m_sessions[key] = session;
    return session;
}

void executor_relay::leave()
{
    m_isLeaving = true;
    for (const auto &[key, session] : m_sessions) {
        session->leave();
    }
}

std::vector<metric> executor_relay::metrics() const
{
    const auto counter = [](std::string name, std::string help, std::uint64_t value) {
        return metric{std::move(name), std::move(help), {{{}, counter_value{static_cast<double>(value)}}}};
    };
    return {counter("parsleyglade_relay_orders_total", "Orders and polls received as a relay.", m_work->orders),
            counter("parsleyglade_relay_rejected_orders_total", "Orders and polls that this relay did not carry out.", m_work->rejectedOrders),
            counter("parsleyglade_relay_messages_total", "Messages sent to leaders as a relay.", m_work->messages),
            metric{"parsleyglade_relay_orders_in_flight",
                   "Orders and polls of leaders without a result.",
                   {{{}, gauge_value{static_cast<double>(m_work->ordersInFlight)}}}}};
}

} // namespace parsleyglade
