#pragma once

#include "core/result_code.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** Results of one run. Waits are in seconds, from a job's arrival at the first entry host to its start at an endpoint. */
struct run_result
{
    std::vector<double> shortWaits;
    std::vector<double> burstWaits; /**< Of short jobs that arrived during a burst of their pool. */
    std::vector<double> urgentWaits;
    std::vector<double> longWaits;
    std::vector<double> quietCallerWaits; /**< Of short jobs in bursts from callers other than the storming one. */
    std::vector<double> stormingCallerWaits; /**< Of short jobs in bursts from the storming caller. @see workload_settings::stormShare */

    std::uint64_t offeredShort = 0;
    std::uint64_t offeredLong = 0;
    std::uint64_t offeredUrgent = 0; /**< Urgent jobs, which are also counted as short. */
    std::uint64_t offeredFromQuietCallers = 0; /**< Short jobs in bursts from callers other than the storming one. */
    std::uint64_t startedFromQuietCallers = 0;
    std::uint64_t startedShort = 0;
    std::uint64_t startedLong = 0;
    std::uint64_t sentToFullEndpoint = 0; /**< Jobs for which the endpoint had no free slot, because reports of other entry hosts' load were out of date. */
    std::uint64_t sent = 0;
    std::uint64_t expired = 0; /**< Accepted, but removed from the queue when they could no longer meet their deadline. */
    std::uint64_t failed = 0; /**< Sent to an endpoint, failed or refused there, and not retried. */
    std::uint64_t retried = 0; /**< Attempts after the first one of a job. */
    std::uint64_t unfinished = 0; /**< Without an outcome when the run ended; 0 unless the simulation has a fault. */
    std::map<result_code, std::uint64_t> refusals; /**< Offers refused by entry hosts, by reason. */
    std::uint64_t hostMoves = 0;
    double spareHostSeconds = 0.0; /**< Time that endpoints spent in spare pools or between pools. */

    /** Returns the sum of the refusals. */
    std::uint64_t refusedCount() const;
};

/** Returns the value below which the given share (0 to 1) of the samples lies; 0 without samples. Reorders the samples. */
double quantile(std::vector<double> &samples, double share);

} // namespace parsleyglade
