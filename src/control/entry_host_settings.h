#pragma once

#include "control/control_settings.h"
#include "core/outcome.h"
#include "runtime/logger.h"

#include <optional>
#include <string>

namespace parsleyglade {

/** The settings file of an entry host that runs the control plane. docs/settings.md describes the fields. */
struct entry_host_settings
{
    std::string entryHost;
    std::string dataCentre;
    std::string region;
    std::string callerAddress; /**< IP address and port, like the other addresses. */
    std::string readinessAddress;
    std::string peerAddress;
    std::string storeAddress;
    std::string hostServiceAddress; /**< Service that moves and maintains hosts; empty when there is none. */
    std::string adviceAddress; /**< Service that gives placement advice; empty when there is none. */
    std::string metricsAddress; /**< Metrics are not served when empty. */
    std::string sharedKey; /**< Secret that authenticates the sessions between entry hosts. */
    duration gracePeriod{}; /**< Time from the stop signal to the forced exit. */
    duration maximumLease{}; /**< Longest lease that executors grant; they shorten longer ones. */
    duration hostOrderLease{}; /**< Minimum time between orders of different entry hosts for the same host. */
    duration configurationBound = control_settings{}.configurationBound; /**< Maximum time until a published configuration is in force everywhere. */
    std::optional<duration> revocationBound; /**< @see control_settings::revocationBound */
    double remoteRunFactor = 1.0; /**< @see scheduler_settings::remoteRunFactor */
    double processorShare = 1.0; /**< Number of cores that this entry host may use. Entry hosts with few lead only when no other can. */
    std::size_t maximumDescriptors = 4'096; /**< File descriptors that the process may have open; half of them may be connections to executors. */
    log_level logLevel = log_level::info;
};

/** Parses and validates the JSON text. Returns a failure with a JSON pointer for every error found; unknown fields are errors. */
outcome<entry_host_settings> parseEntryHostSettings(const std::string &text);

} // namespace parsleyglade
