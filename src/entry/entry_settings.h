#pragma once

#include "core/outcome.h"
#include "core/time_types.h"
#include "entry/caller_settings.h"
#include "runtime/logger.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** Settings of an entry host's process. See docs/settings.md for each setting. */
struct entry_settings
{
    std::string entryHost;
    std::string region;
    std::string dataCentre;
    std::string callerAddress; /**< IP:PORT of the listener for callers. */
    std::string adminAddress; /**< IP:PORT of the listener for operators. */
    std::string peerAddress; /**< IP:PORT of the listener for other entry hosts. */
    std::vector<std::string> logAddresses;
    std::vector<std::string> hostListAddresses;
    std::vector<std::string> peers; /**< Peer addresses of other entry hosts; the host list adds more. */
    std::string peerKey; /**< Secret shared by the deployment's entry hosts. */
    std::string operatorTokenSha256;
    std::vector<caller_settings> callers;

    log_level logLevel = log_level::info;
    std::int32_t claimStreams = 2;
    duration appendInterval = std::chrono::milliseconds{8}; /**< Minimum interval between two appends to a claim stream. */
    std::chrono::milliseconds dedupWindow = std::chrono::hours{6}; /**< Age at which idempotency keys expire. */
    std::chrono::milliseconds logRetention = std::chrono::hours{24};
    duration dispatcherLostTimeout = std::chrono::seconds{60}; /**< Open claims of an entry host that is silent for longer become unknown. */
    duration snapshotInterval = std::chrono::minutes{30}; /**< Maximum interval between two snapshots of a stream. */
    std::size_t maximumClaims = 200'000; /**< Per claim stream. */
    std::size_t maximumQueuedJobs = 400; /**< Per pool queue. */
    std::size_t maximumQueuedJobsOfCaller = 200;
    std::size_t maximumCallerConnections = 12'000;
    std::size_t maximumBodyBytes = std::size_t{1024} * 1024;
    duration drainTimeout = std::chrono::seconds{60}; /**< How long a graceful stop waits for requests in flight. */
};

/** Maximum size of a settings file, in bytes. */
constexpr std::size_t maximumSettingsBytes = std::size_t{256} * 1024;

/** Parses and validates a settings file. Fails with all errors found, each with its JSON pointer. */
outcome<entry_settings> parseEntrySettings(std::string_view text);

} // namespace parsleyglade
