#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

/** Settings of the coordinator of a claim stream. @see claim_coordinator */
struct coordinator_settings
{
    incarnation_id writer{}; /**< Incarnation of this process, written to each batch. */
    duration appendInterval = std::chrono::milliseconds{8}; /**< Minimum interval between the starts of two appends. */
    duration appendDeadline = std::chrono::seconds{2}; /**< Timeout of an undecided request; it is then refused with log_unavailable. */
    duration maximumRetryDelay = std::chrono::milliseconds{500}; /**< Upper limit of the exponential backoff of appends and reads. */
    duration refreshInterval = std::chrono::seconds{1}; /**< Maximum time without contact with the log while claims are open or requests are pending. */
    duration maximumWait = std::chrono::seconds{30}; /**< Maximum time that a request waits for another attempt's open claim on its key. */
    duration dispatcherLostTimeout = std::chrono::seconds{60}; /**< Open claims of a dispatcher that is silent for longer become unknown. */
    duration snapshotInterval = std::chrono::minutes{30}; /**< Maximum interval between two snapshots. */
    std::size_t snapshotRecords = 100'000; /**< Maximum number of records between two snapshots. */
    std::size_t snapshotChunkEntries = 1'000; /**< Approximate number of entries in a snapshot chunk. */
    std::size_t maximumClaims = 200'000; /**< Weight of the fold at which new claims are refused with records_full. */
    std::size_t maximumBatchEntries = 2'000; /**< Maximum number of claims and results in one record. */
    std::size_t maximumPendingRequests = 16'384; /**< Maximum number of pending requests, and of pending reports. */
    std::size_t readRecords = 1'000; /**< Maximum number of records requested in one read. */
    std::chrono::milliseconds dedupWindow = std::chrono::hours{6}; /**< Age at which keys expire. */
    std::chrono::milliseconds horizonStep = std::chrono::minutes{1}; /**< Minimum step by which the expiry horizon advances. */
    std::chrono::milliseconds futureTolerance = std::chrono::minutes{1}; /**< Maximum distance of a key's creation time into the future. */
    std::size_t maximumResponseBytes = std::size_t{64} * 1024; /**< Size of the largest response that is cached, in bytes. */
    std::size_t responseCacheBytes = std::size_t{8} * 1024 * 1024; /**< Capacity of the response cache, in bytes. */
};

} // namespace parsleyglade
