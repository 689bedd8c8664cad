#pragma once

#include "core/outcome.h"
#include "core/time_types.h"
#include "placement/endpoint_view.h"
#include "placement/placement_policy.h"
#include "placement/placement_request.h"

#include <cstddef>
#include <random>
#include <span>

namespace parsleyglade {

/**
 * Selects the endpoint that should run a job. Returns its index, or result_code::no_endpoint with a reason.
 *
 * Never selects an endpoint that is drained, leaving or ejected, whose last successful probe is too old, or that has no free slot in this
 * entry host's view. If no endpoint is available, the job should wait in the admission queue. After selection, call
 * endpoint_view::jobStarted to count the job. The function may update state in the policy (round_robin).
 */
outcome<std::size_t> selectEndpoint(placement_policy &policy, std::span<const endpoint_view> endpoints, const placement_request &request, time_point now,
                                    std::mt19937_64 &random);

/**
 * Expected time in seconds until the endpoint has completed its jobs in flight and the given one. Increased for endpoints whose recent
 * jobs failed.
 */
double expectedWork(const endpoint_view &endpoint, const placement_request &request, time_point now);

} // namespace parsleyglade
