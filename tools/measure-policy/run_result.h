#pragma once

#include "core/result_code.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** What one run measured. Waits are seconds from a job's arrival at the first entry host to its start at an endpoint. */
struct run_result
{
    std::vector<double> shortWaits;
    std::vector<double> burstWaits; /**< Of short jobs that arrived in their queue's burst. */
    std::vector<double> urgentWaits;
    std::vector<double> longWaits;
    std::vector<double> quietCallerWaits; /**< Of short jobs in bursts from callers that do not storm. */
    std::vector<double> stormingCallerWaits;

    std::uint64_t offeredShort = 0;
    std::uint64_t offeredLong = 0;
    std::uint64_t offeredUrgent = 0; /**< Urgent jobs; they are short. */
    std::uint64_t offeredFromQuietCallers = 0; /**< Short jobs in bursts from callers that do not storm. */
    std::uint64_t startedFromQuietCallers = 0;
    std::uint64_t startedShort = 0;
    std::uint64_t startedLong = 0;
    std::uint64_t sentToFullEndpoint = 0; /**< Jobs that found no free slot at the endpoint, because the view of other entry hosts' load was old. */
    std::uint64_t sent = 0;
    std::uint64_t expired = 0; /**< Accepted, but not started by the latest time for the deadline. */
    std::uint64_t failed = 0; /**< Started, failed and not sent again. */
    std::uint64_t retried = 0;
    std::uint64_t unfinished = 0; /**< Neither completed nor answered when the run ended; 0 in a correct model. */
    std::map<result_code, std::uint64_t> refusals;
    std::uint64_t hostMoves = 0;
    double spareHostSeconds = 0.0; /**< Time that endpoints spent in spare pools or between pools. */

    std::uint64_t refusedCount() const;
};

/** The value below which the share of the samples lies; 0 without samples. Reorders the samples. */
double quantile(std::vector<double> &samples, double share);

} // namespace parsleyglade
