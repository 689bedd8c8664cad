#pragma once

#include "deployment.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Results of one spare policy on one seed. */
struct spare_result
{
    std::string deployment;
    std::string policy;
    std::uint64_t seed = 0;
    double heldHostHours = 0; /**< Hosts held beyond what each pool has for itself: those that may be lent, lent or not. */
    double lentHostHours = 0; /**< Hosts that serve another pool than their own, or are on their way. */
    std::uint64_t moves = 0;
    std::uint64_t cancelled = 0;
    double p99BurstWaitSeconds = 0;
    double refusedShare = 0;
    double meanMoveSeconds = 0;
};

/** Names accepted by runSpare. */
constexpr const char *sparePolicies[] = {"fixed-peak", "reactive", "z-score", "queue-model"};

/** Runs one policy over bursts in turn for the given virtual time. */
spare_result runSpare(const std::string &deploymentName, const std::string &policy, std::uint64_t seed, double seconds);

} // namespace parsleyglade
