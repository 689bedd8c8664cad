#pragma once

#include "virtual_log.h"

namespace parsleyglade::measure {

/** Settings of a simulated load of non-idempotent jobs. All times are virtual. */
struct load_settings
{
    double jobsPerSecond = 2'000; /**< Mean rate of a Poisson process. */
    int streams = 2; /**< Claim streams; each has a coordinator of its own. */
    double appendsPerSecond = 300; /**< Maximum append rate of the log, over all streams. */
    duration callDuration = std::chrono::milliseconds{5}; /**< Of an append to the log or a read from it. */
    duration hopDelay = std::chrono::microseconds{1'500}; /**< One-way delay between the dispatcher and the coordinator. */
    duration runTime = std::chrono::milliseconds{50}; /**< Of each job. */
    duration simulatedTime = std::chrono::seconds{60}; /**< Time during which jobs arrive. */
    std::uint64_t seed = 1; /**< Of all random choices. */
};

/** Results of a load. */
struct load_result
{
    std::uint64_t jobs = 0;
    std::uint64_t granted = 0; /**< Jobs whose claim was granted. */
    std::uint64_t refused = 0; /**< Jobs whose claim was refused or timed out. */
    double addedMedianMilliseconds = 0; /**< Time from the claim request to the grant, both at the dispatcher; granted jobs only. */
    double addedP99Milliseconds = 0;
    double appendsPerSecond = 0; /**< Successful appends, while jobs arrive. */
    double refusedAppendsPerSecond = 0; /**< While jobs arrive. */
    double appendsPerJob = 0; /**< Successful appends of claims and results for each granted job. */
    double bytesPerJob = 0; /**< Appended payload bytes for each granted job. */
};

/** Claims and completes every job through the real claim_coordinator, with one coordinator for each stream. */
load_result runGroupCommit(const load_settings &settings);

/** The baseline without group commit: a separate append for each claim and each result; a refused append is retried after a random delay until it times out. */
load_result runSeparateAppends(const load_settings &settings);

} // namespace parsleyglade::measure
