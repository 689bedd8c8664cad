#pragma once

#include "runtime/event_loop.h"
#include "runtime/logger.h"
#include "transport/peer_settings.h"
#include "wire/wire.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;

namespace parsleyglade {

/** One connection between two entry hosts. Each frame is a 4 byte big-endian length and a Thrift message. Both sides prove in a
    handshake that they have the shared key; any other frame before that closes the session. Keeps itself alive while open;
    owns its socket. */
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    /** Events of a session, each on the loop's thread. */
    class listener
    {
    public:
        virtual ~listener() = default;

        /** The handshake has completed: the peer has proved that it has the shared key. */
        virtual void peerReady(const std::shared_ptr<peer_session> &)
        {
        }

        /** A message was received after the handshake. */
        virtual void peerMessage(const std::shared_ptr<peer_session> &, wire::peer_message &)
        {
        }

        /** The session has been closed; no further event follows. */
        virtual void peerClosed(const std::shared_ptr<peer_session> &, const std::string & /*reason*/)
        {
        }
    };

    /** Role in the handshake. */
    enum class side {
        connecting,
        accepting,
    };

    /** The loop, the settings and the listener must outlive the session unless close() is called first. */
    peer_session(event_loop &loop, const peer_settings &settings, listener &events, side role);
    peer_session(const peer_session &) = delete;
    peer_session &operator=(const peer_session &) = delete;
    ~peer_session();

    /** Connects to IP:PORT. @pre the role is connecting */
    void connect(const std::string &address);

    /** Takes ownership of an accepted socket. @pre the role is accepting */
    void accept(int socket);

    /** Sends a message. The message is dropped when the session is not ready or the encoded message exceeds maximumMessageBytes.
        Closes the session when more than maximumQueuedBytes of output are unsent. Returns false when the message was dropped and the peer will
        certainly not receive it. */
    bool send(const wire::peer_message &message);

    /** Closes the session. Does nothing when it is closed already. @param silent suppresses peerClosed(), for a listener that is being destroyed */
    void close(const std::string &reason, bool silent = false);

    /** Whether the handshake has completed and the session is open. */
    bool isReady() const;

    /** Identity of the peer. @pre peerReady() has been called */
    const peer_identity &identity() const;

private:
    void start();
    void readFrames();
    void handleFrame(wire::peer_message &message);
    void handleGreeting(const wire::hello &greeting);
    void handleProof(const wire::hello_proof &proof);
    void sendGreeting();
    void sendProof();
    bool write(const wire::peer_message &message);
    std::string computeProof(side prover) const;

    event_loop &m_loop;
    const peer_settings &m_settings;
    listener &m_listener;
    side m_role;
    bufferevent *m_buffer = nullptr;
    std::string m_ownNonce;
    std::string m_peerNonce;
    std::optional<peer_identity> m_peer;
    bool m_isReady = false;
    bool m_isClosed = false;
    timer_subscription m_handshakeTimeout;
    timer_subscription m_silenceCheck;
    time_point m_lastReceived{};
};

} // namespace parsleyglade
