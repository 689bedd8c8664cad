#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

/** Settings of the orders that reach executors through other entry hosts, called relays. */
struct relay_settings
{
    std::size_t minimumFleet = 500; /**< Executors from which relays are used. With fewer, requests to executors take a small part of one core. */
    std::size_t relaysPerDataCentre = 2; /**< The second one takes over without a connection to be opened when the first is lost. */
    duration maximumRoundTrip
        = std::chrono::milliseconds{400}; /**< A relay is used only after a reply within this time, which bounds the error of its clock offset. */
    duration openingTimeout = std::chrono::seconds{2}; /**< Time after which a relay that was never ready is replaced. */
    duration heartbeatInterval = std::chrono::milliseconds{200};
    duration silenceTimeout
        = std::chrono::milliseconds{700}; /**< A relay that does not reply to a heartbeat for longer is lost, as an executor that does not reply to a poll. */
    int minimumHeartbeatChecks = 4; /**< And only after so many iterations of the leader's event loop, which may be late itself. */
    duration reopenDelay = std::chrono::seconds{2}; /**< Time before a lost relay is used again. */
    duration candidateTimeout = std::chrono::seconds{3}; /**< An entry host without a probe for longer is not chosen. */
    duration orderTimeout = std::chrono::milliseconds{1000}; /**< Of start, stop and pace orders, as for an order that is sent directly. */
    duration pollTimeout = std::chrono::milliseconds{700}; /**< In addition to the time for which the executor may delay its response. */
    duration timeoutMargin = std::chrono::milliseconds{100}; /**< Added to these, so that the relay's result usually comes first. With it, a poll that gets no
                                                                response and the next one still fit into a lease. */
    duration timeoutCheckInterval = std::chrono::milliseconds{50};
    duration maximumDelay = std::chrono::milliseconds{700}; /**< Orders that reach a relay later than this after they were sent are not carried out. Less than
                                              orderTimeout, and more than the delay of an overloaded event loop. */
    duration maximumSessionGap
        = std::chrono::milliseconds{1500}; /**< After a longer time without a message a relay rejects a session, whose leader has given it up. */
    duration resultInterval = std::chrono::milliseconds{10}; /**< Results of this time share a message. About the interval of the leader's rounds. */
    std::size_t maximumSilentExecutors = 10; /**< A relay for which so many executors in a row, and no other, have not responded is taken to be cut off. */
    std::size_t maximumOrdersInFlight = 4096; /**< Of a relay; further orders are rejected, so that its memory is bounded. */
    std::size_t messageBytes = std::size_t{256} * 1024; /**< A message that has reached this size is sent. Well below maximumMessageBytes. */
};

} // namespace parsleyglade
