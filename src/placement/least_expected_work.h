#pragma once

#include <cstddef>

namespace parsleyglade {

/**
 * Placement policy that selects the endpoint with the least expected work among a few free ones sampled at random. Long jobs occupy at
 * most their share of the slots.
 *
 * Because of the sampling, entry hosts that see the same outdated load do not all select the same endpoint. @see expectedWork
 */
struct least_expected_work
{
    std::size_t sampleCount = 2; /**< Number of free endpoints compared for each job, at least 1. */
};

} // namespace parsleyglade
