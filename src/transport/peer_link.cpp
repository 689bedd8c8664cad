#include "transport/peer_link.h"

namespace parsleyglade {

peer_link::peer_link(event_loop &loop, const peer_settings &settings, std::string address, std::function<void(bool ready)> stateChanged)
    : m_loop(loop)
    , m_settings(settings)
    , m_address(std::move(address))
    , m_stateChanged(std::move(stateChanged))
    , m_nextId(loop.now().time_since_epoch().count())
{
    connect();
}

peer_link::~peer_link()
{
    if (m_session) {
        m_session->close("the link was destroyed", true);
    }
}

const std::string &peer_link::address() const
{
    return m_address;
}

bool peer_link::isReady() const
{
    return m_session && m_session->isReady();
}

const std::optional<peer_identity> &peer_link::identity() const
{
    return m_identity;
}

void peer_link::connect()
{
    m_session = std::make_shared<peer_session>(m_loop, m_settings, static_cast<peer_session::listener &>(*this), peer_session::side::connecting);
    m_session->connect(m_address);
}

void peer_link::send(wire::peer_message message)
{
    if (isReady()) {
        message.isReply = false;
        m_session->send(message);
    }
}

void peer_link::request(wire::peer_message message, duration timeout, reply_callback done)
{
    const std::int64_t id = m_nextId++;
    pending_request &pending = m_pending[id];
    pending.done = std::move(done);
    if (!isReady()) {
        pending.timeout = m_loop.after(duration::zero(), [this, id] { failRequest(id, "the peer is not connected"); });
        return;
    }

    pending.timeout = m_loop.after(timeout, [this, id] { failRequest(id, "the peer did not reply in time"); });
    message.id = id;
    message.isReply = false;
    m_session->send(message);
}

std::int64_t peer_link::subscribe(message_callback received)
{
    const std::int64_t id = m_nextId++;
    m_subscriptions[id] = std::make_shared<message_callback>(std::move(received));
    return id;
}

bool peer_link::sendTo(std::int64_t subscription, wire::peer_message &message)
{
    if (!isReady() || !m_subscriptions.contains(subscription)) {
        return false;
    }
    message.id = subscription;
    message.isReply = false;
    return m_session->send(message);
}

void peer_link::failRequest(std::int64_t id, const std::string &reason)
{
    const auto node = m_pending.extract(id);
    if (!node.empty()) {
        node.mapped().done(failure{result_code::peer_unreachable, reason, {}});
    }
}

void peer_link::peerReady(const std::shared_ptr<peer_session> &session)
{
    m_identity = session->identity();
    m_log.info("connected to peer", {{"entry_host", m_identity->entryHost}, {"address", m_address}});
    m_stateChanged(true);
}

void peer_link::peerMessage(const std::shared_ptr<peer_session> &, wire::peer_message &message)
{
    if (const auto found = m_subscriptions.find(message.id); message.isReply && found != m_subscriptions.end()) {
        const auto received = found->second; // the callback may open or end subscriptions
        (*received)(message);
        return;
    }
    auto node = m_pending.extract(message.id);
    if (message.isReply && !node.empty()) {
        node.mapped().timeout.cancel();
        node.mapped().done(message);
    }
}

void peer_link::peerClosed(const std::shared_ptr<peer_session> &session, const std::string &reason)
{
    const bool hasPendingRequests = session == m_session && m_identity && !m_pending.empty();
    m_log.debug("peer connection closed", {{"address", m_address}, {"reason", reason}, {"pending", hasPendingRequests ? m_pending.size() : 0}});
    m_session.reset();
    m_reconnect = m_loop.after(m_settings.reconnectDelay, [this] { connect(); });

    m_subscriptions.clear();
    const auto pending = std::exchange(m_pending, {});
    for (const auto &[id, request] : pending) {
        request.done(failure{result_code::peer_unreachable, reason, {}});
    }
    m_stateChanged(false);
}

} // namespace parsleyglade
