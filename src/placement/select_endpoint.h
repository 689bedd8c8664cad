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
 * Index of the endpoint that should run the job, or no_endpoint with the reason.
 *
 * Drained, leaving, ejected and stale endpoints are never selected, and neither is one without a free slot by this entry host's view; the job
 * should then wait in the admission queue. The caller counts the job with endpoint_view::jobStarted. The policy's own state may change.
 */
outcome<std::size_t> selectEndpoint(placement_policy &policy, std::span<const endpoint_view> endpoints, const placement_request &request, time_point now,
                                    std::mt19937_64 &random);

/** Expected time in seconds until the endpoint has worked off what it has, with the given job added; failures raise it. */
double expectedWork(const endpoint_view &endpoint, const placement_request &request, time_point now);

} // namespace parsleyglade
