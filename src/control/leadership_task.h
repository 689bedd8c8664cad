#pragma once

#include "control/configuration_puller.h"
#include "control/control_settings.h"
#include "control/journal_follower.h"
#include "control/journal_loader.h"
#include "control/leader_task.h"
#include "control/member.h"
#include "control/successor_choice.h"
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
 * Leader election: finds out which entry host leads, and takes over when none does. It probes the announced leader. When the leader does not reply,
 * it watches the journal, and takes over with a conditional append only when nothing is appended to the journal either. So an entry host that is
 * partitioned from a working leader does not depose it. The leader of a large journal names successors. They keep a copy of the journal's state, and the
 * other entry hosts leave the takeover to them for a while.
 */
class leadership_task
{
public:
    /** @param loop, platform, settings, peers the loop, the clients and both settings must outlive this object.
        @param configurationPulled called with the encoded operator record that another entry host had before the store delivered it. */
    leadership_task(event_loop &loop, const platform_clients &platform, const control_settings &settings, const peer_settings &peers,
                    std::function<void(const std::string &)> configurationPulled);
    leadership_task(const leadership_task &) = delete;
    leadership_task &operator=(const leadership_task &) = delete;
    ~leadership_task() = default;

    /** Starts probing, and schedules the first election. @pre not started before */
    void start();

    /** Sets the configuration in force on this entry host.
        @param encoded the operator record, for entry hosts that can't read it from the store. */
    void setConfiguration(const queue_configuration &configuration, std::string encoded);

    /** Records that the configuration in force was the newest one at this time. */
    void confirmConfiguration(time_point currentAsOf);

    /** Time since the configuration in force was last known to be the newest, according to the store or another entry host. */
    duration configurationAge() const;

    /** Adds or updates a maintenance wave requested by the operator. */
    void setWave(const wave_request &request);

    /** Sends a call to the leader, which may be this entry host.
        @param timeout of the request to another entry host.
        @param done called with the reply, or with the failure peer_unreachable when there is none. The call may then have been carried out, unless
            isConnected() was false before. It is not called when the connection to the leader is replaced. */
    void call(const wire::work_call &call, duration timeout, std::function<void(const outcome<wire::work_reply> &)> done);

    /** Handles a message of another entry host. Returns false when it is of a kind that is not handled here. */
    bool handlePeer(wire::peer_message &message, const peer_server::reply_function &reply);

    /** Whether a call can be sent to the leader now. */
    bool isConnected() const;

    /** Time since the leader was last known to work; zero while this entry host leads and its appends are confirmed. */
    duration silence() const;

    /** The leader's version of the configuration, as of its last reply to a probe. */
    std::int64_t leaderConfigurationVersion() const;

    /** Resigns if this entry host leads, and takes part in no further election. */
    void retire();

    /** Peer addresses of the entry hosts that the leader, which may be this one, has named to take over first. */
    const std::vector<std::string> &successors() const;

    /** The other entry hosts that are known, by peer address. */
    const std::map<std::string, member> &members() const;

    control_metrics &metrics();

    /** The leader task while this entry host leads; null otherwise. */
    const leader_task *leader() const;

private:
    /** A probe whose reply is delayed, as in long polling. */
    struct deferred_probe
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
    std::string nextMemberToQuery();
    void queryNextMember();
    void handleMemberReply(const outcome<wire::peer_message> &reply);
    void recordMember(const std::string &address);
    void recordProbe(const wire::leader_probe &request);
    void suspect(const std::string &reason);
    void startElection(const std::string &reason, std::optional<std::uint64_t> refusedEnd = std::nullopt);
    bool isElecting() const;
    bool hasLowProcessorShare() const;
    duration electionDelay() const;
    std::int32_t leadingMillicores() const;
    void replyToDeferredProbes();
    void handOverIfBetterSuited(const wire::leader_probe &request);
    void handleLoadedJournal(journal_loader::result result);
    void appendTakeover(const std::shared_ptr<journal_loader::result> &loaded);
    void startLeading(journal_loader::result &loaded, std::uint64_t offset);
    void stopLeading();

    bool isSuccessor() const;
    void setSuccessors(const std::vector<std::string> &successors);
    void keepCopy(journal_copy copy);
    void chooseSuccessors();
    void claimFromRefusedLeader(std::uint64_t journalEnd);
    void handleStoreRefusal();

    /** Another entry host that is reported to lead. */
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
    std::unique_ptr<peer_link> m_memberLink; /**< To another entry host that is queried for the leader while the leader does not reply. */
    std::map<std::string, member> m_members; /**< The other entry hosts by peer address. */
    std::string m_queriedMember;
    std::string m_lastMemberInTurn; /**< The last one that was queried in the order of addresses. */
    std::uint64_t m_memberQueries = 0;
    std::int64_t m_followedFence = -1;
    std::optional<announced_leader> m_deposedBy; /**< The entry host that has deposed this one; set until this one has stopped leading. */
    control_metrics m_metrics;
    std::unique_ptr<leader_task> m_leader;
    std::unique_ptr<journal_loader> m_loader;
    std::unique_ptr<journal_writer> m_takeoverWriter;
    std::unique_ptr<journal_follower> m_follower; /**< While this entry host is a named successor, except during an election. */
    std::vector<std::string> m_successors; /**< Peer addresses that the leader has named; kept until the next leader names others. */
    successor_choice m_choice; /**< The successors that this entry host names while it leads. */
    time_point m_leaderChangedAt{}; /**< When this entry host learned that another leader had followed the one that it knew. */
    std::uint64_t m_refusedEnd = 0; /**< End of the journal in the last statement of a refused leader that was acted upon. */
    time_point m_storeFailedAt{}; /**< When an election of this entry host last failed for lack of the store. */
    std::string m_electionReason;
    time_point m_electionStartedAt{};
    time_point m_lastHealthy{};
    time_point m_nextElection{};
    time_point m_leadingSince{};
    time_point m_nextHandover{};
    std::int64_t m_leaderConfigurationVersion = 0;
    bool m_isProbing = false;
    bool m_isElectionDelayed = false; /**< The takeover is delayed in favour of entry hosts with a larger processor share. */
    bool m_isRetired = false;
    bool m_hasFollowedLeader = false;
    std::vector<deferred_probe> m_deferredProbes; /**< Probes received while this entry host leads. Replied to at intervals, and when it stops leading. */
    time_point m_probeSentAt{};
    time_point m_memberQuerySentAt{};
    timer_subscription m_deferredProbeTimer;
    timer_subscription m_probeTimer;
    timer_subscription m_firstElectionTimer;
    timer_subscription m_delayedElectionTimer;
    timer_subscription m_memberQueryTimer;
    std::mt19937_64 m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"leadership"};
};

} // namespace parsleyglade
