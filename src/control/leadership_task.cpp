#include "control/leadership_task.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Reads of the announcement may wait long, because probes detect the loss of a leader sooner; the announcement only names the new leader.
constexpr duration announcementWait = std::chrono::seconds{2};

} // namespace

leadership_task::leadership_task(event_loop &loop, const platform_clients &platform, const control_settings &settings, const peer_settings &peers,
                                 std::function<void(const std::string &)> configurationPulled)
    : m_loop(loop)
    , m_platform(platform)
    , m_settings(settings)
    , m_peers(peers)
    , m_announcements(
          loop, platform.store, store_topic::leader, topic_follower::settings{announcementWait},
          [this](const store_record &record) { handleAnnouncement(record); }, [] {})
    , m_puller(loop, peers, settings, std::move(configurationPulled))
    , m_random(static_cast<std::uint64_t>(settings.incarnation))
{
}

void leadership_task::start()
{
    m_lastHealthy = m_loop.now();
    m_announcements.start();
    m_probeTimer = m_loop.every(m_settings.probeInterval, [this] { probe(); });

    const auto jitter = static_cast<std::uint64_t>(m_settings.electionJitter.count());
    m_firstElectionTimer = m_loop.after(duration(static_cast<std::int64_t>(m_random() % jitter)) + electionDelay(), [this] {
        if (!m_hasFollowedLeader) {
            startElection("no leader is known");
        }
    });
}

void leadership_task::setConfiguration(const queue_configuration &configuration, std::string encoded)
{
    m_configuration = configuration;
    m_encodedConfiguration = std::move(encoded);
    m_puller.setVersion(configuration.version);
    if (m_leader) {
        m_leader->setConfiguration(configuration);
        replyToDeferredProbes();
    }
}

void leadership_task::confirmConfiguration(time_point currentAsOf)
{
    m_configurationCurrentAsOf = std::max(m_configurationCurrentAsOf, currentAsOf);
}

duration leadership_task::configurationAge() const
{
    return m_loop.now() - m_configurationCurrentAsOf;
}

void leadership_task::setWave(const wave_request &request)
{
    m_waves[request.wave] = request;
    if (m_leader) {
        m_leader->setWave(request);
    }
}

void leadership_task::call(const wire::work_call &call, duration timeout, std::function<void(const outcome<wire::work_reply> &)> done)
{
    if (m_leader) {
        m_leader->call(call, [this, done = std::move(done)](const wire::work_reply &reply) { m_loop.post([done, reply] { done(reply); }); });
        return;
    }
    if (!m_link) {
        m_loop.post([done = std::move(done)] { done(failure{result_code::peer_unreachable, "no leader is known", {}}); });
        return;
    }

    wire::peer_message message;
    message.__set_work(call);
    m_link->request(message, timeout, [done = std::move(done)](const outcome<wire::peer_message> &reply) {
        if (!reply) {
            done(reply.lastReason());
        } else if (!reply->__isset.workReply) {
            done(failure{result_code::peer_unreachable, "the leader's reply is not a work reply", {}});
        } else {
            done(reply->workReply);
        }
    });
}

bool leadership_task::handlePeer(wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (message.__isset.probe) {
        handleProbe(message.probe, reply);
        return true;
    }
    if (!message.__isset.work) {
        return false;
    }

    const auto send = [reply](const wire::work_reply &result) {
        wire::peer_message response;
        response.__set_workReply(result);
        reply(response);
    };
    if (!m_leader) {
        wire::work_reply result;
        result.verdict = wire::work_verdict::not_leading;
        send(result);
    } else {
        m_leader->call(message.work, send);
    }
    return true;
}

bool leadership_task::isConnected() const
{
    if (m_leader) {
        return m_leader->journalAge() < m_settings.scheduling.leadershipLease;
    }
    return m_link && m_link->isReady();
}

duration leadership_task::silence() const
{
    if (m_leader) {
        const duration age = m_leader->journalAge();
        return age > m_settings.journalStallTimeout ? age : duration::zero();
    }
    return m_loop.now() - m_lastHealthy;
}

std::int64_t leadership_task::leaderConfigurationVersion() const
{
    return m_leader ? m_configuration.version : m_leaderConfigurationVersion;
}

void leadership_task::retire()
{
    m_isRetired = true;
    m_firstElectionTimer.cancel();
    m_follower.reset();
    if (m_leader) {
        m_leader->resign();
        replyToDeferredProbes(); // the successors then await the resignation
    }
}

control_metrics &leadership_task::metrics()
{
    return m_metrics;
}

const leader_task *leadership_task::leader() const
{
    return m_leader.get();
}

void leadership_task::handleAnnouncement(const store_record &record)
{
    const auto announcement = decode<wire::batch_record>(record.value);
    if (!announcement) {
        m_log.warning("failed to decode the leader announcement; ignoring it", {{"offset", record.offset}});
        return;
    }
    if (announcement->peerAddress == m_settings.peerAddress) {
        // Announced by this entry host, possibly before a restart at the same address; then there is no leader until one is elected.
        if (!m_leader) {
            m_link.reset();
            suspect("the announced address is our own");
        }
        return;
    }
    follow(announcement->peerAddress, announcement->sequence);
}

void leadership_task::follow(const std::string &address, std::int64_t fence)
{
    if (fence < m_followedFence || (m_leader && fence == m_followedFence)) {
        return;
    }
    if (m_leader) {
        m_deposedBy = announced_leader{address, fence};
        m_leader->depose(address);
        return;
    }
    if (fence > m_followedFence && m_followedFence >= 0) {
        m_leaderChangedAt = m_loop.now();
    }
    m_followedFence = fence;
    if (m_takeoverWriter && fence >= static_cast<std::int64_t>(m_takeoverWriter->end())) {
        // The journal has gone on, so the condition of the takeover can't be met any more.
        m_loop.post([old = std::shared_ptr<journal_writer>(std::move(m_takeoverWriter))] {});
    }
    if (m_link && m_link->address() == address) {
        if (m_link->isReady()) {
            m_lastHealthy = m_loop.now();
        }
        return;
    }

    m_log.info("follows", {{"leader", address}, {"fence", fence}});
    std::erase(m_successors, address);
    m_hasFollowedLeader = true;
    m_lastHealthy = m_loop.now();
    recordMember(address);
    // This may run in a callback of the link, so the link is destroyed from the event loop.
    m_loop.post([old = std::shared_ptr<peer_link>(std::move(m_link))] {});
    m_isProbing = false;
    m_link = std::make_unique<peer_link>(m_loop, m_peers, address, [this](bool isReady) {
        if (isReady) {
            probe();
        } else {
            suspect("connection closed");
        }
    });
}

/** Replies at once if the sender has an older configuration or this entry host does not lead, resigns or is refused by the store; otherwise delays the reply by
    up to maximumProbeReplyDelay. */
void leadership_task::handleProbe(const wire::leader_probe &request, const peer_server::reply_function &reply)
{
    recordProbe(request);
    if (m_leader) {
        m_leader->recordFollower(request);
    }
    m_puller.offer(request.peerAddress, request.configurationVersion);
    if (request.wantsConfiguration) {
        wire::peer_message response;
        response.__set_probeReply(statusFor(request));
        reply(response);
        return;
    }
    handOverIfBetterSuited(request);
    m_deferredProbes.push_back({request, reply});
    const bool givesWay = !m_leader || m_leader->isResigning() || m_leader->isStoreRefusing();
    if (givesWay || request.configurationVersion < m_configuration.version) {
        replyToDeferredProbes();
    }
}

wire::leader_status leadership_task::statusFor(const wire::leader_probe &request)
{
    wire::leader_status status;
    status.leading = m_leader != nullptr;
    status.resigning = m_leader && m_leader->isResigning();
    status.journalAgeMilliseconds = m_leader ? std::chrono::duration_cast<std::chrono::milliseconds>(m_leader->journalAge()).count() : 0;
    status.configurationVersion = m_configuration.version;
    status.configurationAgeMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(configurationAge()).count();
    status.leadership = m_followedFence;
    if (m_leader) {
        status.leaderAddress = m_settings.peerAddress;
    } else if (m_link && silence() < m_settings.leaderSuspicionTimeout) {
        status.leaderAddress = m_link->address();
    }
    for (const auto &[address, known] : m_members) {
        status.members.push_back(address);
    }
    if (m_leader) {
        status.successors = m_choice.names();
        status.storeRefuses = m_leader->isStoreRefusing();
        status.journalEnd = static_cast<std::int64_t>(m_leader->journalEnd());
    }
    if (request.wantsConfiguration && request.configurationVersion < m_configuration.version) {
        status.__set_configuration(m_encodedConfiguration);
    }
    return status;
}

/** Replies to the successors first: their takeover does not wait until all others have their replies. */
void leadership_task::replyToDeferredProbes()
{
    std::vector<deferred_probe> probes = std::exchange(m_deferredProbes, {});
    std::stable_partition(probes.begin(), probes.end(), [this](const deferred_probe &deferred) {
        const std::vector<std::string> &names = m_choice.names();
        return std::find(names.begin(), names.end(), deferred.request.peerAddress) != names.end();
    });
    for (const deferred_probe &deferred : probes) {
        wire::peer_message response;
        response.__set_probeReply(statusFor(deferred.request));
        deferred.reply(response);
    }
}

wire::peer_message leadership_task::makeProbe() const
{
    wire::leader_probe request;
    request.configurationVersion = m_configuration.version;
    request.peerAddress = m_settings.peerAddress;
    request.leadingMillicores = leadingMillicores();
    request.dataCentre = m_peers.dataCentre;
    wire::peer_message message;
    message.__set_probe(request);
    return message;
}

/** Compares the configuration of another entry host with the one in force, which is either outdated or confirmed as the newest. */
void leadership_task::compareConfiguration(const std::string &address, const wire::leader_status &status, time_point requestedAt)
{
    m_puller.offer(address, status.configurationVersion);
    if (status.configurationVersion == m_configuration.version) {
        confirmConfiguration(requestedAt - std::chrono::milliseconds(status.configurationAgeMilliseconds));
    }
}

void leadership_task::probe()
{
    if (m_leader) {
        // If the store does not respond, only another entry host can report that this one was deposed.
        if (m_leader->isStoreRefusing() || silence() > m_settings.leaderSuspicionTimeout) {
            queryNextMember();
        }
        return;
    }
    if (m_isRetired) {
        return;
    }
    if (silence() > m_settings.leaderSuspicionTimeout) {
        suspect("silent");
        queryNextMember();
    }
    if (m_isProbing || !m_link || !m_link->isReady()) {
        return;
    }

    m_isProbing = true;
    m_probeSentAt = m_loop.now();
    m_link->request(makeProbe(), m_settings.probeTimeout, [this, alive = std::weak_ptr<bool>(m_alive)](const outcome<wire::peer_message> &reply) {
        if (!alive.lock()) {
            return;
        }
        m_isProbing = false;
        handleProbeReply(reply);
        const bool wasDeferred = reply && m_loop.now() - m_probeSentAt > m_settings.maximumProbeReplyDelay / 2;
        if (wasDeferred) {
            m_loop.post([this, alive] {
                if (alive.lock()) {
                    probe();
                }
            });
        }
    });
}

void leadership_task::handleProbeReply(const outcome<wire::peer_message> &reply)
{
    if (!reply || !reply->__isset.probeReply) {
        return;
    }
    const wire::leader_status &status = reply->probeReply;
    m_leaderConfigurationVersion = status.configurationVersion;
    for (const std::string &address : status.members) {
        recordMember(address);
    }
    if (m_link) {
        compareConfiguration(m_link->address(), status, m_probeSentAt);
    }
    if (!status.leading && !status.leaderAddress.empty() && status.leadership > m_followedFence) {
        follow(status.leaderAddress, status.leadership);
        return;
    }
    if (status.leading) {
        setSuccessors(status.successors);
    }
    if (status.leading && status.storeRefuses) {
        claimFromRefusedLeader(static_cast<std::uint64_t>(status.journalEnd));
    }
    const auto stalled = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.journalStallTimeout).count();
    if (!status.leading || status.resigning) {
        suspect(status.resigning ? "resigning" : "no longer leading");
        if (m_loader && status.resigning) {
            m_loader->expectResignation();
        }
    } else if (status.journalAgeMilliseconds > stalled) {
        suspect("the leader's journal is stalled");
    } else {
        m_lastHealthy = m_loop.now();
    }
}

} // namespace parsleyglade
