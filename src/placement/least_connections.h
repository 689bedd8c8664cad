#pragma once

namespace parsleyglade {

/** Places on the endpoint with the fewest jobs in flight, whatever their length. A baseline. */
struct least_connections
{
};

} // namespace parsleyglade
