#pragma once

#include "deployment.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Results of one maintenance cycle with one seed. Counts without a comment are totals of the run. */
struct cycle_result
{
    std::string deployment;
    std::uint64_t seed = 0;
    std::size_t hosts = 0;
    std::size_t hostsDone = 0; /**< Hosts that were maintained. */
    double hours = 0; /**< Virtual time until the cycle ended. */
    /** Sum over steps of the pools below their minimum while a host of the pool that is up was drained for planned work. */
    std::uint64_t violations = 0;
    std::uint64_t failuresAlone = 0; /**< Sum over steps of the pools below their minimum only because of failures. */
    std::uint64_t pauses = 0; /**< Times that the wave was paused. */
    std::uint64_t replans = 0; /**< Times that the wave was planned again. */
    std::uint64_t checkpoints = 0;
    std::uint64_t failures = 0;
    std::uint64_t restarts = 0;
    std::uint64_t rackFailures = 0;
    bool isFinished = false;
};

/** Simulates one complete maintenance cycle with failures in virtual time, in steps of 10 s, for at most 8 weeks. */
cycle_result runCycle(const deployment &fleet, std::uint64_t seed);

} // namespace parsleyglade
