#pragma once

#include "control/relay_settings.h"
#include "core/identifiers.h"
#include "core/time_types.h"
#include "scheduler/scheduler_settings.h"

#include <optional>
#include <string>

namespace parsleyglade {

/** Settings of the control plane of an entry host. */
struct control_settings
{
    std::string entryHost; /**< Name of this entry host. */
    std::string peerAddress; /**< IP address and port at which the other entry hosts reach this one. */
    incarnation_id incarnation{};
    scheduler_settings scheduling;
    relay_settings relays;
    double processorShare = 1.0; /**< Number of cores that this entry host may use. */
    double leaderProcessorShare = 0.25; /**< Number of cores needed to lead a large fleet. Entry hosts with fewer leave leadership to others. */
    duration maximumElectionDelay = std::chrono::milliseconds{400}; /**< Takeover delay at no processor share; zero from leaderProcessorShare on. */
    duration minimumTermBeforeHandover = std::chrono::seconds{2}; /**< Minimum time that a leader with a low processor share leads. */
    duration handoverInterval = std::chrono::seconds{20}; /**< Minimum time between two handovers by the same entry host. */
    duration storeContactTimeout = std::chrono::seconds{3}; /**< An entry host without a response of the store for this long offers no cores for leadership. */
    duration probeInterval = std::chrono::milliseconds{400}; /**< Interval between probes of the leader. */
    duration maximumProbeReplyDelay
        = std::chrono::milliseconds{300}; /**< How long a leader may delay the reply to a probe. It replies at once when it loses leadership. */
    duration probeTimeout = std::chrono::milliseconds{700}; /**< Timeout of a probe. */
    duration leaderSuspicionTimeout = std::chrono::milliseconds{900}; /**< Time without contact to the leader after which its journal is watched. */
    duration journalSilenceTimeout = std::chrono::milliseconds{800}; /**< A journal without a new record for this long has no leader. */
    duration configurationBound = std::chrono::milliseconds{2000}; /**< Maximum time until a published configuration is in force on every entry host. */
    std::optional<duration> revocationBound; /**< Maximum time until a withdrawn key is out of use on every entry host, whatever fails: one that has not known
                                                its configuration to be the newest for this long serves no queue that needs a key. Not set: it serves on. */
    duration configurationPullDelay = std::chrono::milliseconds{1000}; /**< Time for the store to deliver a configuration before it is pulled from a peer. */
    duration configurationPullTimeout = std::chrono::seconds{5}; /**< Time after which an unanswered request for the configuration is repeated. */
    duration readLease = std::chrono::milliseconds{800}; /**< Time since the last confirmed append during which a leader may reply from its own
                                                              state that a job is unknown or how many jobs are pending, without a stale read. Must
                                                              not exceed journalSilenceTimeout. */
    duration confirmationTimeout = std::chrono::milliseconds{1000}; /**< Maximum time that a call waits for the journal to confirm leadership. */
    duration heartbeatInterval = std::chrono::milliseconds{200}; /**< Maximum time between two appends of the leader. */
    duration journalStallTimeout = std::chrono::milliseconds{700}; /**< A leader without a confirmed append for this long is suspected to have failed. */
    duration refusalTimeout = std::chrono::milliseconds{150}; /**< A leader whose attempts to append have failed for this long lets another entry host take
                                                                 over. Longer than storeRetryDelay, so that one lost response has no effect. */
    duration successorGrace = std::chrono::milliseconds{1000}; /**< Time that other entry hosts leave to the named successors before they load the journal. */
    duration loadDelayPerMember = std::chrono::milliseconds{25}; /**< Upper bound of the random delay after it, for each known entry host, so that few of them
                                                                    load the journal at the same time. */
    std::size_t successorJobs = 250; /**< Number of jobs above which a leader names successors. The journal of fewer fits into one page. */
    duration electionJitter = std::chrono::milliseconds{200}; /**< Upper bound of the random delay before the first election after start-up. */
    duration electionBackoff = std::chrono::milliseconds{1000}; /**< Time after an attempt to take over, or after losing leadership, before the next attempt. */
    duration registryReadInterval = std::chrono::milliseconds{200}; /**< Interval between reads of the registry. */
    duration hostListInterval = std::chrono::milliseconds{400}; /**< Interval between requests for the list of hosts. */
    duration hostDecisionInterval = std::chrono::milliseconds{25}; /**< Interval between rounds of decisions about hosts, for a small fleet. */
    duration hostDecisionIntervalPerHost = std::chrono::microseconds{50}; /**< Added to it for each host, since a round looks at all of them. */
    duration poolPlanInterval = std::chrono::milliseconds{100}; /**< Interval between plans of the pools. */
    duration hostTakeoverDelay = std::chrono::milliseconds{3200}; /**< Minimum time between orders of different leaders for the same host. */
    duration hostOrderLeadershipLease = std::chrono::milliseconds{1200}; /**< Maximum time since the last confirmed append at which host orders are sent. */
    duration storeRetryDelay = std::chrono::milliseconds{100}; /**< Delay before a failed append or read is retried. */
    duration minimumDecisionInterval = std::chrono::milliseconds{4}; /**< Minimum time between rounds of decisions, for a small fleet. */
    duration decisionIntervalPerExecutor = std::chrono::microseconds{6}; /**< Added to it for each executor, since a round looks at all of them. */
    duration callRetryDelay = std::chrono::milliseconds{100}; /**< Delay before a call that no leader accepted is retried. */
    duration callTimeout = std::chrono::milliseconds{1500}; /**< Time after which an unanswered call to the leader is retried. */
};

} // namespace parsleyglade
