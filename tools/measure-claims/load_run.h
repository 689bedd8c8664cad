#pragma once

#include "virtual_log.h"

namespace parsleyglade::measure {

/** A load of non-idempotent jobs. */
struct load_settings
{
    double jobsPerSecond = 2'000;
    int streams = 2;
    double appendsPerSecond = 300;
    duration callDuration = std::chrono::milliseconds{5};
    duration hopDelay = std::chrono::microseconds{1'500}; /**< One way between the dispatcher and the coordinator. */
    duration runTime = std::chrono::milliseconds{50};
    duration simulatedTime = std::chrono::seconds{60};
    std::uint64_t seed = 1;
};

/** What a load saw. */
struct load_result
{
    std::uint64_t jobs = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    double addedMedianMilliseconds = 0; /**< From the question to the grant at the dispatcher, granted jobs only. */
    double addedP99Milliseconds = 0;
    double appendsPerSecond = 0;
    double refusedAppendsPerSecond = 0;
    double appendsPerJob = 0; /**< Successful appends, claims and results together, for each granted job. */
    double bytesPerJob = 0;
};

/** Claims and completes every job through the real claim_coordinator, one for each stream. */
load_result runGroupCommit(const load_settings &settings);

/** The baseline: an append for each claim and each result, retried with jitter until the same deadline. */
load_result runSeparateAppends(const load_settings &settings);

} // namespace parsleyglade::measure
