#pragma once

#include "scheduler/executor_orders.h"
#include "wire/wire.h"

namespace parsleyglade {

/** Translation between orders to executors and the messages between the leader and its relays. Texts of an order are copied; the payload of a start
    order, which its job shares, is left to the caller. */

/** Fills a new element of a message; the number and the payload remain to be set. */
void encodeOrder(const start_order &order, wire::relay_order &encoded);
void encodeOrder(const stop_order &order, wire::relay_order &encoded);
void encodeOrder(const pace_order &order, wire::relay_order &encoded);
void encodeOrder(const poll_order &order, wire::relay_order &encoded);

/** Decodes an order of the given kind. @param validUntil on the local clock; the order is not sent afterwards */
start_order decodeStart(const wire::relay_order &encoded, time_point validUntil);
stop_order decodeStop(const wire::relay_order &encoded, time_point validUntil);
pace_order decodePace(const wire::relay_order &encoded, time_point validUntil);
poll_order decodePoll(const wire::relay_order &encoded, time_point validUntil);

/** Fills a new element of a message; the number remains to be set. */
void encodeResult(const order_response &response, wire::relay_result &encoded);
void encodeResult(const poll_response &response, wire::relay_result &encoded);

/** Decodes a result. An unknown result code counts as unanswered. */
order_response decodeOrderResponse(const wire::relay_result &encoded);
poll_response decodePollResponse(const wire::relay_result &encoded);

/** Approximate size of an encoded element in bytes, at least as large as its texts. */
std::size_t encodedSize(const wire::relay_order &order);
std::size_t encodedSize(const wire::relay_result &result);

} // namespace parsleyglade
