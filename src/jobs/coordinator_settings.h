#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

/** Limits of a claim stream's coordinator. @see claim_coordinator */
struct coordinator_settings
{
    incarnation_id writer{};
    duration appendInterval = std::chrono::milliseconds{8}; /**< Least time between the starts of two appends. */
    duration appendDeadline = std::chrono::seconds{2}; /**< After this a request that the log has not decided is refused with log_unavailable. */
    duration maximumRetryDelay = std::chrono::milliseconds{500}; /**< Bound of the doubling delay after a failed append or read. */
    duration refreshInterval = std::chrono::seconds{1}; /**< Longest time without contact with the log while claims are open. */
    duration maximumWait = std::chrono::seconds{30}; /**< Longest time that a repeated key waits for the open claim that it joined. */
    duration dispatcherLostTimeout = std::chrono::seconds{60}; /**< Open claims of a dispatcher not heard of for this long become unknown. */
    duration snapshotInterval = std::chrono::minutes{30}; /**< Longest time between two snapshots. */
    std::size_t snapshotRecords = 100'000; /**< Most records between two snapshots. */
    std::size_t snapshotChunkEntries = 1'000; /**< Entries in a chunk of a snapshot. */
    std::size_t maximumClaims = 200'000; /**< Weight of the fold at which a new claim is refused with records_full. */
    std::size_t maximumBatchEntries = 2'000; /**< Claims and results in one record. */
    std::size_t maximumPendingRequests = 16'384; /**< Requests and reports that wait at the same time. */
    std::size_t readRecords = 1'000; /**< Records asked for in one read. */
    std::chrono::milliseconds dedupWindow = std::chrono::hours{6}; /**< Age at which keys expire. */
    std::chrono::milliseconds horizonStep = std::chrono::minutes{1}; /**< Least rise of the expiry horizon. */
    std::chrono::milliseconds futureTolerance = std::chrono::minutes{1}; /**< How far in the future a key may have been created. */
    std::size_t maximumResponseBytes = std::size_t{64} * 1024; /**< Largest answer that is kept, in bytes. */
    std::size_t responseCacheBytes = std::size_t{8} * 1024 * 1024; /**< All kept answers together, in bytes. */
};

} // namespace parsleyglade
