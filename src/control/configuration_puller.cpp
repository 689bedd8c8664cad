#include "control/configuration_puller.h"

namespace parsleyglade {

configuration_puller::configuration_puller(event_loop &loop, const peer_settings &peers, const control_settings &settings,
                                           std::function<void(const std::string &)> pulled)
    : m_loop(loop)
    , m_peers(peers)
    , m_settings(settings)
    , m_pulled(std::move(pulled))
{
}

void configuration_puller::offer(const std::string &address, std::int64_t version)
{
    if (version < m_offeredVersion || version <= m_version) {
        return;
    }
    const bool isWaiting = isBehind();
    m_offeredVersion = version;
    m_offeringPeer = address;
    if (!isWaiting) {
        schedulePull();
    }
}

void configuration_puller::setVersion(std::int64_t version)
{
    m_version = version;
    closeLink();
    m_timer.cancel();
    if (isBehind()) {
        schedulePull();
    }
}

bool configuration_puller::isBehind() const
{
    return m_offeredVersion > m_version;
}

void configuration_puller::schedulePull()
{
    m_timer = m_loop.after(m_settings.configurationPullDelay, [this] { pull(); });
}

void configuration_puller::pull()
{
    m_log.info("requesting the configuration from a peer", {{"peer", m_offeringPeer}, {"version", m_offeredVersion}, {"inForce", m_version}});
    closeLink();
    m_link = std::make_unique<peer_link>(m_loop, m_peers, m_offeringPeer, [this](bool isReady) {
        if (isReady) {
            sendRequest();
        }
    });
    m_timer = m_loop.after(m_settings.configurationPullTimeout, [this] {
        closeLink();
        schedulePull();
    });
}

void configuration_puller::sendRequest()
{
    wire::leader_probe probe;
    probe.configurationVersion = m_version;
    probe.peerAddress = m_settings.peerAddress;
    probe.wantsConfiguration = true;
    wire::peer_message message;
    message.__set_probe(probe);
    m_link->request(message, m_settings.configurationPullTimeout, [this](const outcome<wire::peer_message> &reply) { handleReply(reply); });
}

void configuration_puller::handleReply(const outcome<wire::peer_message> &reply)
{
    if (reply && reply->__isset.probeReply && reply->probeReply.__isset.configuration) {
        m_pulled(reply->probeReply.configuration);
    }
}

void configuration_puller::closeLink()
{
    // This may run in a callback of the link, so the link is destroyed from the event loop.
    if (m_link) {
        m_loop.post([old = std::shared_ptr<peer_link>(std::move(m_link))] {});
    }
}

} // namespace parsleyglade
