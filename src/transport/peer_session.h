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

/** One connection between two entry hosts: frames of a 4 byte big-endian length and a Thrift message. Both sides prove
    the shared key before any other frame is taken. Keeps itself alive while open; owns its socket. */
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    /** Events of a session, each on the loop's thread. */
    class listener
    {
    public:
        virtual ~listener() = default;

        /** The other side has proved the shared key. */
        virtual void peerReady(const std::shared_ptr<peer_session> &)
        {
        }

        /** A frame came after the handshake. */
        virtual void peerMessage(const std::shared_ptr<peer_session> &, wire::peer_message &)
        {
        }

        /** The session has ended; no other event follows. */
        virtual void peerClosed(const std::shared_ptr<peer_session> &, const std::string & /*reason*/)
        {
        }
    };

    enum class side {
        connecting,
        accepting,
    };

    /** @param settings and listener outlive the session, or call close() first. */
    peer_session(event_loop &loop, const peer_settings &settings, listener &events, side role);
    peer_session(const peer_session &) = delete;
    peer_session &operator=(const peer_session &) = delete;
    ~peer_session();

    /** Connects to IP:PORT. @pre the role is connecting */
    void connect(const std::string &address);

    /** Takes over an accepted socket. @pre the role is accepting */
    void accept(int socket);

    /** Sends a frame. Ignored when the handshake has not finished; closes the session when too much output waits. */
    void send(const wire::peer_message &message);

    /** Ends the session. The listener is told unless this is its destructor's call with silent set. */
    void close(const std::string &reason, bool silent = false);

    bool isReady() const;

    /** Whom the handshake proved. @pre isReady() */
    const peer_identity &identity() const;

private:
    void start();
    void readFrames();
    void handleFrame(wire::peer_message &message);
    void handleGreeting(const wire::hello &greeting);
    void handleProof(const wire::hello_proof &proof);
    void sendGreeting();
    void sendProof();
    void write(const wire::peer_message &message);
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
