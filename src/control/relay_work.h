#pragma once

#include <cstddef>
#include <cstdint>

namespace parsleyglade {

/** Work of an entry host as a relay since the start of the process. Shared by its sessions and the callbacks of their orders. */
struct relay_work
{
    std::size_t ordersInFlight = 0; /**< Orders and polls without a result. */
    std::uint64_t orders = 0; /**< Orders and polls that were received. */
    std::uint64_t rejectedOrders = 0; /**< Orders and polls that were not carried out, for a reason of the relay. */
    std::uint64_t messages = 0; /**< Messages with results that were sent. */
};

} // namespace parsleyglade
