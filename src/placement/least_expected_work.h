#pragma once

#include <cstddef>

namespace parsleyglade {

/**
 * Places on the endpoint with the least expected work among a few sampled at random. Long jobs hold at most their share of the slots.
 *
 * A sample keeps entry hosts that see the same old counts from all choosing the same endpoint.
 */
struct least_expected_work
{
    std::size_t sampleCount = 2; /**< Endpoints compared for each job, at least 1. */
};

} // namespace parsleyglade
