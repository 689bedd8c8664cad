#pragma once

#include "control/control_settings.h"
#include "core/outcome.h"
#include "runtime/logger.h"

#include <string>

namespace parsleyglade {

/** Settings file of an entry host that runs the control plane. docs/settings.md describes the fields. */
struct entry_host_settings
{
    std::string entryHost;
    std::string dataCentre;
    std::string region;
    std::string callerAddress; /**< IP number and port, like the other addresses. */
    std::string readinessAddress;
    std::string peerAddress;
    std::string storeAddress;
    std::string hostServiceAddress; /**< Moves and maintains hosts; empty when there is none. */
    std::string adviceAddress; /**< Placement advice; empty when there is none. */
    std::string metricsAddress; /**< Empty to serve no metrics. */
    std::string sharedKey; /**< Secret of the sessions between entry hosts. */
    duration gracePeriod{}; /**< From the signal to stop to the forced end. */
    duration maximumLease{}; /**< Executors shorten longer leases to this. */
    duration hostOrderLease{}; /**< Least time between orders for one host by different holders. */
    duration configurationBound = control_settings{}.configurationBound; /**< A published configuration is in force everywhere within this time. */
    double processorShare = 1.0; /**< Cores that this entry host may use; those with little lead only when no other does. */
    log_level logLevel = log_level::info;
};

/** Parses and checks the JSON text; every fault found is reported with its JSON pointer. Unknown fields are refused. */
outcome<entry_host_settings> parseEntryHostSettings(const std::string &text);

} // namespace parsleyglade
