#pragma once

#include "deployment.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Results of one maintenance cycle on one seed. */
struct cycle_result
{
    std::string deployment;
    std::uint64_t seed = 0;
    std::size_t hosts = 0;
    std::size_t hostsDone = 0;
    double hours = 0;
    std::uint64_t violations = 0; /**< Pool and step pairs below the minimum while planned work has a host of the pool out that would restore it. */
    std::uint64_t failuresAlone = 0; /**< Pool and step pairs below the minimum by failures alone. */
    std::uint64_t pauses = 0;
    std::uint64_t replans = 0;
    std::uint64_t checkpoints = 0;
    std::uint64_t failures = 0;
    std::uint64_t restarts = 0;
    std::uint64_t rackFailures = 0;
    bool isFinished = false;
};

/** Runs one full cycle with failures in virtual time, in steps of 10 s, for at most 8 weeks. */
cycle_result runCycle(const deployment &fleet, std::uint64_t seed);

} // namespace parsleyglade
