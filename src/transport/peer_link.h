#pragma once

#include "core/outcome.h"
#include "transport/peer_session.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace parsleyglade {

/** Outgoing connection to one other entry host: connects on construction, reconnects after reconnectDelay, and matches replies
    to requests. Callbacks run on the loop's thread, and not after destruction. The loop and the settings must outlive the link,
    which owns its session. */
class peer_link : private peer_session::listener
{
public:
    using reply_callback = std::function<void(const outcome<wire::peer_message> &)>;
    using message_callback = std::function<void(const wire::peer_message &)>;

    /** @param address IP:PORT of the other entry host's peer listener.
        @param stateChanged called with true when the link becomes ready, and with false when it is lost or an attempt to connect has failed. */
    peer_link(event_loop &loop, const peer_settings &settings, std::string address, std::function<void(bool ready)> stateChanged);
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;
    ~peer_link() override;

    const std::string &address() const;

    /** Whether the link is connected and the handshake has completed. */
    bool isReady() const;

    /** Identity of the peer in the last completed handshake; nothing before the first. Retained when the link is lost. */
    const std::optional<peer_identity> &identity() const;

    /** Sends a message that has no reply. The message is dropped when the link is not ready. */
    void send(wire::peer_message message);

    /** Sends a request. The callback runs once, after this function has returned: with the reply, or with peer_unreachable
        when the link is not ready, the connection is lost or the timeout has ended. */
    void request(wire::peer_message message, duration timeout, reply_callback done);

    /** Opens a subscription: the peer may reply any number of times to the messages that are sent with sendTo(). It ends without a further callback
        when the link is lost, which stateChanged reports, and with the destruction of the link.
        @param received called with each reply, never before this function has returned
        @return the id for sendTo() */
    std::int64_t subscribe(message_callback received);

    /** Sends a message of a subscription. Returns false when the peer will certainly not receive it: the link is not ready, the subscription has
        ended, or the message is too large. */
    bool sendTo(std::int64_t subscription, wire::peer_message &message);

private:
    struct pending_request
    {
        reply_callback done;
        timer_subscription timeout;
    };

    void peerReady(const std::shared_ptr<peer_session> &session) override;
    void peerMessage(const std::shared_ptr<peer_session> &session, wire::peer_message &message) override;
    void peerClosed(const std::shared_ptr<peer_session> &session, const std::string &reason) override;
    void connect();
    void failRequest(std::int64_t id, const std::string &reason);

    event_loop &m_loop;
    const peer_settings &m_settings;
    std::string m_address;
    std::function<void(bool ready)> m_stateChanged;
    std::shared_ptr<peer_session> m_session;
    std::optional<peer_identity> m_identity;
    std::unordered_map<std::int64_t, pending_request> m_pending;
    std::unordered_map<std::int64_t, std::shared_ptr<message_callback>> m_subscriptions;
    std::int64_t m_nextId; /**< Ids start at the time of construction, so that subscriptions of two links of a process have different ids. */
    timer_subscription m_reconnect;
    logger m_log{"peer"};
};

} // namespace parsleyglade
