#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"
#include "scheduler/scheduler_settings.h"

#include <string>

namespace parsleyglade {

/** Settings of an entry host's part in the control plane. */
struct control_settings
{
    std::string entryHost;
    std::string peerAddress; /**< IP number and port where the other entry hosts reach this one. */
    incarnation_id incarnation{};
    scheduler_settings scheduling;
    double processorShare = 1.0; /**< Cores that this entry host may use. */
    double leaderProcessorShare = 0.25; /**< Cores that the lead of a large fleet takes; entry hosts with less leave the lead to others. */
    duration maximumElectionDelay = std::chrono::milliseconds{400}; /**< Wait before the claim of an entry host without any processor share; less with more. */
    duration minimumTermBeforeHandover = std::chrono::seconds{2}; /**< A leader with little processor share leads at least this long. */
    duration handoverInterval = std::chrono::seconds{20}; /**< Between two resignations of one entry host in favour of another. */
    duration storeContactTimeout = std::chrono::seconds{3}; /**< Without an answer of the store for this long an entry host could not lead. */
    duration probeInterval = std::chrono::milliseconds{400}; /**< Between two probes of the leader. */
    duration probeHold = std::chrono::milliseconds{300}; /**< A leader answers probes in this interval, and at once when it leads no more. */
    duration probeTimeout = std::chrono::milliseconds{700}; /**< An unanswered probe counts as failed after this time. */
    duration leaderSuspicionTimeout = std::chrono::milliseconds{900}; /**< Silence of the leader after which its journal is watched. */
    duration journalSilenceTimeout = std::chrono::milliseconds{800}; /**< A journal that gets no record for this long has no leader. */
    duration configurationBound = std::chrono::milliseconds{2000}; /**< A published configuration is in force everywhere within this time. */
    duration configurationPullDelay
        = std::chrono::milliseconds{1000}; /**< A configuration that a peer has and the store has not delivered for this long is asked of the peer. */
    duration configurationPullTimeout = std::chrono::seconds{5}; /**< An unanswered request for the configuration is made again after this time. */
    duration readLease = std::chrono::milliseconds{800}; /**< A leader says that a job is unknown, or how many wait, from its own state for this
                                                                long after the journal last confirmed the lead; at most journalSilenceTimeout. */
    duration confirmationTimeout = std::chrono::milliseconds{1000}; /**< A call waits for the journal to confirm the lead for at most this long. */
    duration heartbeatInterval = std::chrono::milliseconds{200}; /**< The leader appends at least this often. */
    duration journalStallTimeout = std::chrono::milliseconds{700}; /**< A leader whose journal confirms nothing for this long is suspect. */
    duration electionJitter = std::chrono::milliseconds{200}; /**< Random delay before the first claim of all. */
    duration electionBackoff = std::chrono::milliseconds{1000}; /**< After a claim that found the leader alive. */
    duration registryReadInterval = std::chrono::milliseconds{200}; /**< Between two reads of the registry. */
    duration hostListInterval = std::chrono::milliseconds{400}; /**< Between two reads of the list of hosts while it is needed. */
    duration hostDecisionInterval = std::chrono::milliseconds{25}; /**< Between two rounds of decisions about hosts. */
    duration poolPlanInterval = std::chrono::milliseconds{100}; /**< Between two plans of the pools. */
    duration hostTakeoverDelay
        = std::chrono::milliseconds{3200}; /**< A new leader leaves hosts alone for this long to which its predecessor has just given orders. */
    duration hostOrderLeadershipLease = std::chrono::milliseconds{1200}; /**< No order for a host this long after the journal last confirmed the lead. */
    duration storeRetryDelay = std::chrono::milliseconds{100}; /**< After an append or read that failed. */
    duration minimumDecisionInterval = std::chrono::milliseconds{4}; /**< Least time between two rounds of decisions. */
    duration callRetryDelay = std::chrono::milliseconds{100}; /**< Before a call that found no leader is tried again. */
    duration callTimeout = std::chrono::milliseconds{1500}; /**< An unanswered call to the leader is tried again after this time. */
};

} // namespace parsleyglade
