#pragma once

#include "placement/placement.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** Queue in which jobs of a pool wait at an entry host. */
enum class queue_kind {
    admission, /**< The admission_queue of the product. */
    fifo, /**< The baseline: one queue in order of arrival. */
};

/** A measured combination of placement policy, queue and settings. */
struct policy_choice
{
    std::string name; /**< Value of the --policy option; names the policy in reports. */
    placement_policy policy;
    queue_kind queue = queue_kind::admission;
    admission_settings admission;
    run_time_settings runTimes;
    ejection_settings ejection;
    endpoint_limits limits;
};

/**
 * Returns the default policy, its alternatives and the baselines.
 *
 * All policies get the same endpoints, counts of jobs in flight and probes, and the same maximum queue length.
 */
std::vector<policy_choice> policyChoices();

} // namespace parsleyglade
