#pragma once

#include "control/configuration_puller.h"
#include "control/control_settings.h"
#include "control/journal_loader.h"
#include "control/leader_task.h"
#include "control/topic_follower.h"
#include "transport/peer_link.h"
#include "transport/peer_server.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace parsleyglade {

/**
 * Finds out who leads, and leads itself when nobody does. It probes the announced leader; while that is silent it watches the journal,
 * and only when the journal is silent too does it claim the lead with a conditional append. So an entry host that is cut off from a
 * leader that works does not depose it.
 */
class leadership_task
{
public:
    /** @param configurationPulled called with the operator's record when another entry host had a newer one than the store has delivered. */
    leadership_task(event_loop &loop, const platform_clients &platform, const control_settings &settings, const peer_settings &peers,
                    std::function<void(const std::string &)> configurationPulled);
    leadership_task(const leadership_task &) = delete;
    leadership_task &operator=(const leadership_task &) = delete;
    ~leadership_task() = default;

    void start();

    /** The operator's configuration, as this entry host has it.
        @param encoded the operator's record, for entry hosts that can't read it. */
    void setConfiguration(const queue_configuration &configuration, std::string encoded);

    /** The configuration in force was the newest at this time. */
    void confirmConfiguration(time_point currentAsOf);

    /** Time since the configuration in force was last known to be the newest, from the store or a leader that knew. */
    duration configurationAge() const;

    /** A maintenance wave that the operator asked for. */
    void setWave(const wave_request &request);

    /** Sends a call to the leader, which may be this entry host.
        @param done the reply, or a failure with peer_unreachable when there is none; the call may then have been carried out, unless
        isConnected() was false before. */
    void call(const wire::work_call &call, duration limit, std::function<void(const outcome<wire::work_reply> &)> done);

    /** Answers a frame of another entry host; returns false when the frame is none of this task's. */
    bool handlePeer(wire::peer_message &message, const peer_server::reply_function &reply);

    /** Whether a call can be sent now. */
    bool isConnected() const;

    /** Time since the leader was last known to work. */
    duration silence() const;

    /** The leader's version of the configuration, as last told. */
    std::int64_t leaderConfigurationVersion() const;

    /** Leads no more and never again; another entry host takes over. */
    void retire();

    control_metrics &metrics();

    /** The scheduler while this entry host leads; null otherwise. */
    const leader_task *leader() const;

private:
    struct held_probe
    {
        wire::leader_probe request;
        peer_server::reply_function reply;
    };

    void handleAnnouncement(const store_record &record);
    void follow(const std::string &address, std::int64_t fence);
    void handleProbe(const wire::leader_probe &request, const peer_server::reply_function &reply);
    wire::leader_status statusFor(const wire::leader_probe &request);
    wire::peer_message makeProbe() const;
    void probe();
    void compareConfiguration(const std::string &address, const wire::leader_status &status, time_point requestedAt);
    void handleProbeReply(const outcome<wire::peer_message> &reply);
    void queryNextMember();
    void handleMemberReply(const outcome<wire::peer_message> &reply);
    void recordMember(const std::string &address);
    void suspect(const std::string &reason);
    void startElection();
    bool hasLowProcessorShare() const;
    duration electionDelay() const;
    std::int32_t leadingMillicores() const;
    void replyToHeldProbes();
    void handOverIfBetterSuited(const wire::leader_probe &request);
    void handleLoadedJournal(journal_loader::result result);
    void appendTakeover(std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t end);
    void startLeading(std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t offset);
    void stopLeading();

    /** Another entry host that is said to lead. */
    struct announced_leader
    {
        std::string address;
        std::int64_t fence = 0;
    };

    event_loop &m_loop;
    platform_clients m_platform;
    const control_settings &m_settings;
    const peer_settings &m_peers;
    topic_follower m_announcements;
    configuration_puller m_puller;
    queue_configuration m_configuration;
    std::string m_encodedConfiguration;
    time_point m_configurationCurrentAsOf{};
    std::map<std::int64_t, wave_request> m_waves;
    std::unique_ptr<peer_link> m_link;
    std::unique_ptr<peer_link> m_memberLink; /**< To another entry host, while the leader is silent. */
    std::map<std::string, time_point> m_members; /**< Peer addresses of the entry hosts, and when each was last heard of. */
    std::string m_queriedMember;
    std::int64_t m_followedFence = -1;
    std::optional<announced_leader> m_successor; /**< Who has deposed this entry host; set until it has stopped leading. */
    control_metrics m_metrics;
    std::unique_ptr<leader_task> m_leader;
    std::unique_ptr<journal_loader> m_loader;
    std::unique_ptr<journal_writer> m_takeoverWriter;
    time_point m_lastHealthy{};
    time_point m_nextElection{};
    time_point m_leadingSince{};
    time_point m_nextHandover{};
    std::int64_t m_leaderConfigurationVersion = 0;
    bool m_isProbing = false;
    bool m_isElectionDelayed = false; /**< This entry host leaves the claim to others with more processor share for a moment. */
    bool m_isRetired = false;
    bool m_hasEverFollowed = false;
    std::vector<held_probe> m_heldProbes; /**< While this entry host leads: answered at intervals, and when it leads no more. */
    time_point m_probeSentAt{};
    time_point m_memberQuerySentAt{};
    timer_subscription m_heldProbeTimer;
    timer_subscription m_probeTimer;
    timer_subscription m_firstElectionTimer;
    timer_subscription m_delayedElectionTimer;
    timer_subscription m_memberQueryTimer;
    std::mt19937_64 m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"leadership"};
};

} // namespace parsleyglade
