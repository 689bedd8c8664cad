#pragma once

#include "placement/placement.h"

#include <string>
#include <vector>

namespace parsleyglade {

enum class queue_kind {
    admission, /**< The product's admission_queue. */
    fifo, /**< One line in order of arrival, the baseline. */
};

/** One way to place and admit that is measured. */
struct policy_choice
{
    std::string name;
    placement_policy policy;
    queue_kind queue = queue_kind::admission;
    admission_settings admission;
    run_time_settings runTimes;
    ejection_settings ejection;
    endpoint_limits limits;
};

/** The default policy, its alternatives and the baselines. All see the same endpoints, counts and probes, and have the same bound on their queues. */
std::vector<policy_choice> policyChoices();

} // namespace parsleyglade
