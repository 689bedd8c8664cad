#pragma once

#include "deployment.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Results of one spare capacity policy with one seed. */
struct spare_result
{
    std::string deployment;
    std::string policy;
    std::uint64_t seed = 0;
    double heldHostHours = 0; /**< Host-hours of the hosts that may be lent to other pools, whether they were lent or not. */
    double lentHostHours = 0; /**< Host-hours of the hosts that served another pool than their own or were moving. */
    std::uint64_t moves = 0; /**< Completed moves. */
    std::uint64_t cancelled = 0; /**< Cancelled moves. */
    double p99BurstWaitSeconds = 0; /**< Time from arrival to start, of jobs that arrived within a burst. */
    double refusedShare = 0; /**< Share of all jobs. */
    double meanMoveSeconds = 0; /**< Time from the start of a move until the host can run jobs of the new pool. */
};

/** Policy names accepted by runSpare(). */
constexpr const char *sparePolicies[] = {"fixed-peak", "reactive", "z-score", "queue-model"};

/** Simulates one policy for the given virtual time in seconds, while the pools have bursts in turn. */
spare_result runSpare(const std::string &deploymentName, const std::string &policy, std::uint64_t seed, double seconds);

} // namespace parsleyglade
