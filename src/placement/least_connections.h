#pragma once

namespace parsleyglade {

/** Placement policy that selects the endpoint with the fewest jobs in flight, regardless of their class. Baseline for comparisons. */
struct least_connections
{
};

} // namespace parsleyglade
