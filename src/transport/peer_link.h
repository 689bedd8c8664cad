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
    std::int64_t m_nextId = 1;
    timer_subscription m_reconnect;
    logger m_log{"peer"};
};

} // namespace parsleyglade
