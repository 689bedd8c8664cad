#pragma once

#include <cstddef>
#include <cstdint>

namespace parsleyglade {

/** Sums of the leader's requests to executors since it took over, by the way they took. */
struct relay_counters
{
    std::uint64_t directOrders = 0; /**< Orders and polls that the leader has sent itself. */
    std::uint64_t relayedOrders = 0; /**< Orders and polls that were sent to relays. */
    std::uint64_t relayedResults = 0;
    std::uint64_t messages = 0; /**< Messages with orders that were sent to relays. */
    std::uint64_t unansweredOrders = 0; /**< Relayed orders without a result: the relay was lost, or the timeout has ended. */
    std::uint64_t lostRelays = 0;
    std::size_t relays = 0; /**< Relays in use now. */
};

} // namespace parsleyglade
