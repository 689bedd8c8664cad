#pragma once

#include "control/leader_load.h"
#include "control/relay_settings.h"
#include "scheduler/executor_orders.h"
#include "transport/peer_link.h"

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>

namespace parsleyglade {

/** The leader's connection to one relay, another entry host that carries orders to executors. Collects orders until flush(), and completes them with
    the relay's results. An order that was sent and gets no result completes as unanswered: after a timeout, or at once when the connection or the
    relay is lost. A link that is lost stays so; @see relayed_executors, which replaces it. */
class relay_link
{
public:
    using order_callback = std::function<void(order_response)>;
    using poll_callback = std::function<void(poll_response)>;

    /** Events of a link, which must not be destroyed before they have returned. */
    class listener
    {
    public:
        virtual ~listener() = default;

        /** The relay has replied to the opening message in time and can get orders. @param roundTrip time until the reply */
        virtual void relayReady(const relay_link &, duration /*roundTrip*/)
        {
        }

        /** The relay must get no further orders. It completes those that it has. */
        virtual void relayLeaving(const relay_link &, const std::string & /*reason*/)
        {
        }

        /** The relay is lost; its orders in flight complete as unanswered after this call. */
        virtual void relayLost(const relay_link &, const std::string & /*reason*/)
        {
        }
    };

    /** State of a link. */
    enum class link_state {
        opening, /**< Not connected yet, or without a reply in time. */
        ready,
        leaving,
        lost,
    };

    /** Connects. The loop, the settings, the load and the listener must outlive the link.
        @param address at which the other entry hosts reach the relay */
    relay_link(event_loop &loop, const peer_settings &peers, const relay_settings &settings, leader_load &load, std::string address, listener &events);
    relay_link(const relay_link &) = delete;
    relay_link &operator=(const relay_link &) = delete;
    ~relay_link() = default;

    const std::string &address() const;
    link_state state() const;

    /** Hash of the address, with which executors are assigned to relays. */
    std::uint64_t hashSeed() const;

    /** Number of orders and polls without a result. */
    std::size_t ordersInFlight() const;

    /** Number of polls without a result, which is the number of executors that have a poll under way. */
    std::size_t pollsInFlight() const;

    /** Adds an order to the next message. The callback runs once, not after destruction of the link. @pre the state is ready */
    void start(const start_order &order, order_callback done);
    void stop(const stop_order &order, order_callback done);
    void pace(const pace_order &order, order_callback done);
    void poll(const poll_order &order, poll_callback done);

    /** Sends the orders that were added since the last call in one message. */
    void flush();

private:
    struct pending_order
    {
        time_point deadline{};
        std::string polledExecutor; /**< Empty unless it is a poll. */
        std::variant<order_callback, poll_callback> done;
    };

    template <typename Order, typename Callback> wire::relay_order &add(const Order &order, duration timeout, Callback done);
    std::int32_t payloadIndex(const start_order &order);
    void handleLinkState(bool isReady);
    void handleMessage(const wire::peer_message &message);
    void handleHeartbeatReply();
    void handleResults(const std::vector<wire::relay_result> &results);
    void checkHeartbeat();
    void checkTimeouts();
    void clearBatch();
    void failBatch(const std::string &reason);
    void noteContact(const pending_order &order, const wire::relay_result &result);
    void leave(const std::string &reason);
    void lose(const std::string &reason);
    void complete(std::int64_t number, order_result result, const std::string &reason);

    event_loop &m_loop;
    const relay_settings &m_settings;
    leader_load &m_load;
    std::string m_address;
    std::uint64_t m_hashSeed;
    listener &m_listener;
    link_state m_state = link_state::opening;
    peer_link m_link;
    std::int64_t m_subscription = 0;
    time_point m_openedAt;
    time_point m_heartbeatSentAt{};
    bool m_isHeartbeatInFlight = false;
    int m_heartbeatChecks = 0; /**< Since the heartbeat in flight was sent. */
    std::int64_t m_nextNumber; /**< Numbers start at the time of construction, so that those of two links of a process differ. */
    std::unordered_map<std::int64_t, pending_order> m_pending;
    std::size_t m_pollsInFlight = 0;
    std::set<std::string> m_silentExecutors; /**< That have not answered a poll, since the last response of any executor. */
    wire::peer_message m_batch; /**< Message under construction; its vectors keep their capacity. */
    std::size_t m_batchBytes = 0;
    time_point m_batchValidUntil = time_point::max();
    std::unordered_map<std::string, std::int32_t> m_payloadIndexes; /**< In the batch, by job. */
    timer_subscription m_heartbeatTimer;
    timer_subscription m_timeoutTimer;
};

} // namespace parsleyglade
