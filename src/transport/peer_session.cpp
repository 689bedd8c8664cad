#include "transport/peer_session.h"

#include "core/digest.h"
#include "runtime/bulk_transfer.h"
#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <cassert>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <sys/socket.h>

namespace parsleyglade {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t nonceBytes = 32;
constexpr std::size_t maximumHandshakeBytes = 1024;
constexpr std::int32_t protocolVersion = 1;

std::string randomNonce()
{
    std::string nonce(nonceBytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size()));
    return nonce;
}

} // namespace

peer_session::peer_session(event_loop &loop, const peer_settings &settings, listener &events, side role)
    : m_loop(loop)
    , m_settings(settings)
    , m_listener(events)
    , m_role(role)
    , m_ownNonce(randomNonce())
{
}

peer_session::~peer_session()
{
    if (m_buffer != nullptr) {
        bufferevent_free(m_buffer);
    }
}

void peer_session::connect(const std::string &address)
{
    assert(m_role == side::connecting);
    m_buffer = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    start();

    const auto target = parseSocketAddress(address);
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(target ? target->port : 0);
    const bool valid = target && ::inet_pton(AF_INET, target->address.c_str(), &socketAddress.sin_addr) == 1;
    if (!valid || bufferevent_socket_connect(m_buffer, reinterpret_cast<sockaddr *>(&socketAddress), sizeof(socketAddress)) != 0) {
        m_loop.post([self = shared_from_this()] { self->close("the connection could not be opened"); });
    }
}

void peer_session::accept(int socket)
{
    assert(m_role == side::accepting);
    m_buffer = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    start();
}

void peer_session::start()
{
    m_loop.retain(shared_from_this());
    m_lastReceived = m_loop.now();
    const auto onRead = [](bufferevent *, void *argument) {
        static_cast<peer_session *>(argument)->readFrames();
    };
    const auto onEvent = [](bufferevent *buffer, short events, void *argument) {
        auto *self = static_cast<peer_session *>(argument);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            const int enabled = 1;
            ::setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            self->sendGreeting();
            return;
        }
        self->close((events & BEV_EVENT_EOF) != 0 ? "the peer closed the connection" : "the connection failed");
    };
    bufferevent_setcb(m_buffer, onRead, nullptr, onEvent, this);
    allowBulkTransfer(m_buffer);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);

    m_handshakeTimeout = m_loop.after(m_settings.handshakeTimeout, [this] { close("the handshake timed out"); });
    m_silenceCheck = m_loop.every(m_settings.silenceTimeout / 2, [this] {
        if (m_loop.now() - m_lastReceived > m_settings.silenceTimeout) {
            close("nothing was received from the peer before the timeout");
        }
    });
}

void peer_session::readFrames()
{
    const auto self = shared_from_this();
    evbuffer *input = bufferevent_get_input(m_buffer);
    m_lastReceived = m_loop.now();

    while (!m_isClosed && evbuffer_get_length(input) >= lengthBytes) {
        std::uint32_t encodedLength = 0;
        evbuffer_copyout(input, &encodedLength, lengthBytes);
        const std::size_t length = ntohl(encodedLength);
        if (length > (m_isReady ? maximumMessageBytes : maximumHandshakeBytes)) {
            close("the peer sent a frame that exceeds the size limit");
            return;
        }
        if (evbuffer_get_length(input) < lengthBytes + length) {
            return;
        }

        std::string bytes(length, '\0');
        evbuffer_drain(input, lengthBytes);
        evbuffer_remove(input, bytes.data(), length);
        auto message = decode<wire::peer_message>(bytes);
        if (!message) {
            close(message.lastReason().reason);
            return;
        }
        handleFrame(*message);
    }
}

void peer_session::handleFrame(wire::peer_message &message)
{
    if (m_isReady) {
        m_listener.peerMessage(shared_from_this(), message);
        return;
    }

    if (message.__isset.greeting && !m_peer) {
        handleGreeting(message.greeting);
    } else if (message.__isset.proof && m_peer) {
        handleProof(message.proof);
    } else {
        close("the peer sent an unexpected frame before the handshake was complete");
    }
}

void peer_session::handleGreeting(const wire::hello &greeting)
{
    if (greeting.nonce.size() != nonceBytes || greeting.protocolVersion != protocolVersion) {
        close("the peer's greeting is malformed or has another protocol version");
        return;
    }

    m_peerNonce = greeting.nonce;
    m_peer = peer_identity{greeting.entryHost, incarnation_id{greeting.incarnation}, greeting.region, greeting.dataCentre};
    if (m_role == side::accepting) {
        sendGreeting();
    }
    sendProof();
}

void peer_session::handleProof(const wire::hello_proof &proof)
{
    const side prover = m_role == side::connecting ? side::accepting : side::connecting;
    if (!equalSecrets(proof.mac, computeProof(prover))) {
        close("the peer did not prove that it has the shared key");
        return;
    }

    m_handshakeTimeout.cancel();
    m_isReady = true;
    m_listener.peerReady(shared_from_this());
}

void peer_session::sendGreeting()
{
    wire::hello greeting;
    greeting.entryHost = m_settings.entryHost;
    greeting.incarnation = static_cast<std::int64_t>(m_settings.incarnation);
    greeting.region = m_settings.region;
    greeting.dataCentre = m_settings.dataCentre;
    greeting.nonce = m_ownNonce;
    greeting.protocolVersion = protocolVersion;

    wire::peer_message message;
    message.__set_greeting(greeting);
    write(message);
}

void peer_session::sendProof()
{
    wire::hello_proof proof;
    proof.mac = computeProof(m_role);
    wire::peer_message message;
    message.__set_proof(proof);
    write(message);
}

std::string peer_session::computeProof(side prover) const
{
    // The MAC covers the role, both nonces and the prover's name, so that a proof can't be reflected or used by another host.
    const bool isOwnProof = prover == m_role;
    const std::string &connecting = m_role == side::connecting ? m_ownNonce : m_peerNonce;
    const std::string &accepting = m_role == side::connecting ? m_peerNonce : m_ownNonce;
    const std::string &proverName = isOwnProof ? m_settings.entryHost : m_peer->entryHost;
    const std::string label = prover == side::connecting ? "connecting" : "accepting";
    return hmacSha256(m_settings.sharedKey, label + connecting + accepting + proverName);
}

bool peer_session::send(const wire::peer_message &message)
{
    return m_isReady && !m_isClosed && write(message);
}

bool peer_session::write(const wire::peer_message &message)
{
    const std::string bytes = encode(message);
    if (bytes.size() > maximumMessageBytes) {
        return false;
    }
    if (evbuffer_get_length(bufferevent_get_output(m_buffer)) > m_settings.maximumQueuedBytes) {
        m_loop.post([self = shared_from_this()] { self->close("the unsent output for the peer exceeds the limit"); });
        return false;
    }

    const std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size()));
    bufferevent_write(m_buffer, &length, lengthBytes);
    bufferevent_write(m_buffer, bytes.data(), bytes.size());
    return true;
}

void peer_session::close(const std::string &reason, bool silent)
{
    if (m_isClosed) {
        return;
    }

    m_isClosed = true;
    m_handshakeTimeout.cancel();
    m_silenceCheck.cancel();
    bufferevent_setcb(m_buffer, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(m_buffer, EV_READ | EV_WRITE);
    // The connection is shut down now, and not when the last owner releases the session, so that the peer detects it immediately.
    ::shutdown(bufferevent_getfd(m_buffer), SHUT_RDWR);

    const auto self = shared_from_this();
    if (!silent) {
        m_listener.peerClosed(self, reason);
    }
    m_loop.release(this);
}

bool peer_session::isReady() const
{
    return m_isReady && !m_isClosed;
}

const peer_identity &peer_session::identity() const
{
    assert(m_peer);
    return *m_peer;
}

} // namespace parsleyglade
