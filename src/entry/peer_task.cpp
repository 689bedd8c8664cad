#include "entry/peer_task.h"

#include "entry/rendezvous.h"

#include <algorithm>

namespace parsleyglade {

namespace {

/** Interval of heartbeats, which carry the load, between entry hosts of one data centre. */
constexpr duration heartbeatInterval = std::chrono::milliseconds{100};

/** Every n-th heartbeat is also sent to the other data centres, without the load of endpoints. */
constexpr int heartbeatsPerRemoteHeartbeat = 5;

/** Every n-th heartbeat carries the pool loads. Planning needs them once a second, and they make up most of a heartbeat's bytes. */
constexpr int heartbeatsPerPoolLoadReport = 10;

/** A peer without a heartbeat for this long is not live: three intervals of the heartbeats between data centres. */
constexpr duration livenessTimeout = std::chrono::milliseconds{1500};

peer_settings makePeerSettings(const entry_settings &settings, incarnation_id incarnation)
{
    peer_settings made;
    made.entryHost = settings.entryHost;
    made.incarnation = incarnation;
    made.region = settings.region;
    made.dataCentre = settings.dataCentre;
    made.sharedKey = settings.peerKey;
    return made;
}

} // namespace

peer_task::peer_task(event_loop &loop, const entry_settings &settings, incarnation_id incarnation)
    : m_loop(loop)
    , m_settings(makePeerSettings(settings, incarnation))
    , m_ownAddress(settings.peerAddress)
    , m_addresses(settings.peers.begin(), settings.peers.end())
    , m_server(loop, m_settings, settings.peerAddress,
               [this](const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply) { handle(peer, message, reply); })
{
}

outcome<std::uint16_t> peer_task::start()
{
    auto port = m_server.listen();
    if (!port) {
        return port;
    }

    for (const std::string &address : m_addresses) {
        connect(address);
    }
    m_heartbeatTimer = m_loop.every(heartbeatInterval, [this] {
        sendHeartbeat(m_heartbeatCount % heartbeatsPerRemoteHeartbeat == 0);
        ++m_heartbeatCount;
    });
    return port;
}

void peer_task::connect(const std::string &address)
{
    if (address == m_ownAddress || m_links.contains(address)) {
        return;
    }

    m_links[address] = std::make_unique<peer_link>(m_loop, m_settings, address, [this, address](bool ready) {
        if (!ready) {
            return;
        }
        const std::string entryHost = m_links.at(address)->identity()->entryHost;
        sendHeartbeat(true);
        for (listener *observer : m_listeners) {
            observer->peerConnected(entryHost);
        }
    });
}

void peer_task::addListener(listener *added)
{
    m_listeners.push_back(added);
}

void peer_task::setHeartbeatSource(std::function<wire::heartbeat()> source)
{
    m_heartbeat = std::move(source);
}

void peer_task::setRequestHandler(request_handler handler)
{
    m_handler = std::move(handler);
}

void peer_task::addAddresses(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        connect(address);
    }
}

void peer_task::sendHeartbeat(bool toAllDataCentres)
{
    if (!m_heartbeat) {
        return;
    }

    wire::heartbeat full = m_heartbeat();
    if (m_heartbeatCount % heartbeatsPerPoolLoadReport != 0) {
        full.pools.clear();
    }
    wire::heartbeat reduced = full;
    reduced.loads.clear();
    wire::peer_message withLoads;
    withLoads.__set_beat(full);
    wire::peer_message withoutLoads;
    withoutLoads.__set_beat(reduced);

    for (const auto &[address, link] : m_links) {
        if (!link->isReady()) {
            continue;
        }
        const bool isSameDataCentre = link->identity()->dataCentre == m_settings.dataCentre;
        if (isSameDataCentre || toAllDataCentres) {
            link->send(isSameDataCentre ? withLoads : withoutLoads);
        }
    }
}

void peer_task::handle(const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (message.__isset.beat) {
        handleHeartbeat(peer, message.beat);
        // The empty reply keeps an idle session alive: the connecting side gets no other frames and would time out.
        wire::peer_message answer;
        reply(answer);
        return;
    }
    if (m_handler) {
        m_handler(peer, message, reply);
    }
}

void peer_task::handleHeartbeat(const peer_identity &peer, const wire::heartbeat &heartbeat)
{
    const auto known = m_peers.find(peer.entryHost);
    if (known != m_peers.end() && known->second.identity.incarnation != peer.incarnation) {
        const incarnation_id former = known->second.identity.incarnation;
        m_log.info("peer restarted with a new incarnation", {{"entry_host", peer.entryHost}});
        for (listener *observer : m_listeners) {
            observer->peerReplaced(former);
        }
    }

    peer_state &state = m_peers[peer.entryHost];
    std::vector<wire::pool_load> pools = heartbeat.pools;
    if (pools.empty()) {
        pools.swap(state.heartbeat.pools);
    }
    state = peer_state{peer, heartbeat, m_loop.now()};
    state.heartbeat.pools = std::move(pools);
    for (listener *observer : m_listeners) {
        observer->heartbeatReceived(state);
    }
}

peer_link *peer_task::linkTo(const std::string &entryHost) const
{
    for (const auto &[address, link] : m_links) {
        if (link->isReady() && link->identity()->entryHost == entryHost) {
            return link.get();
        }
    }
    return nullptr;
}

bool peer_task::isLive(const std::string &entryHost) const
{
    const auto found = m_peers.find(entryHost);
    return found != m_peers.end() && m_loop.now() - found->second.lastHeartbeatAt <= livenessTimeout && linkTo(entryHost) != nullptr;
}

std::vector<peer_state> peer_task::livePeers() const
{
    std::vector<peer_state> live;
    for (const auto &[entryHost, state] : m_peers) {
        if (isLive(entryHost)) {
            live.push_back(state);
        }
    }
    return live;
}

std::vector<peer_state> peer_task::knownPeers() const
{
    std::vector<peer_state> known;
    std::transform(m_peers.begin(), m_peers.end(), std::back_inserter(known), [](const auto &item) { return item.second; });
    return known;
}

bool peer_task::isSelected(std::string_view subject, const std::string &dataCentre) const
{
    std::vector<std::string> candidates{self()};
    for (const peer_state &peer : livePeers()) {
        if (peer.heartbeat.ready && peer.heartbeat.logReachable && (dataCentre.empty() || peer.identity.dataCentre == dataCentre)) {
            candidates.push_back(peer.identity.entryHost);
        }
    }
    return selectByRendezvous(subject, candidates) == self();
}

std::string peer_task::entryHostOf(incarnation_id incarnation) const
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto &item) { return item.second.identity.incarnation == incarnation; });
    return found != m_peers.end() && isLive(found->first) ? found->first : std::string();
}

void peer_task::request(const std::string &entryHost, const wire::peer_message &message, duration timeout, peer_link::reply_callback done)
{
    if (peer_link *link = linkTo(entryHost)) {
        link->request(message, timeout, std::move(done));
        return;
    }
    m_loop.post([done = std::move(done)] { done(failure{result_code::peer_unreachable, "the entry host is not connected", {}}); });
}

void peer_task::broadcast(const wire::peer_message &message)
{
    for (const auto &[address, link] : m_links) {
        link->send(message);
    }
}

incarnation_id peer_task::incarnation() const
{
    return m_settings.incarnation;
}

const std::string &peer_task::self() const
{
    return m_settings.entryHost;
}

} // namespace parsleyglade
