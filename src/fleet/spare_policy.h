#pragma once

#include "fleet/fixed_peak_policy.h"
#include "fleet/queue_model_policy.h"
#include "fleet/reactive_threshold_policy.h"
#include "fleet/z_score_policy.h"

#include <string>
#include <variant>

namespace parsleyglade {

/** The spare capacity policy of one pool. Policies keep state about the pool's load, so each pool needs its own instance. */
using spare_policy = std::variant<fixed_peak_policy, reactive_threshold_policy, z_score_policy, queue_model_policy>;

/** Updates the policy with the sample and returns the number of hosts that it demands. Call exactly once per interval. */
pool_demand decideDemand(spare_policy &policy, const std::string &pool, const pool_sample &sample, time_point now);

} // namespace parsleyglade
