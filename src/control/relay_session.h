#pragma once

#include "control/clock_offset.h"
#include "control/executor_client.h"
#include "control/relay_settings.h"
#include "control/relay_work.h"
#include "runtime/event_loop.h"
#include "runtime/logger.h"
#include "transport/peer_server.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleyglade {

/** The relay's side of one connection of a leader: carries the orders out with its own client of the executors and collects their results. Orders that
    were held up under way, or while this process was suspended, are rejected. Shared by its owner and the callbacks of its orders in flight. */
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    /** @param loop, executors, settings must outlive the session
        @param leader name of the entry host that leads, for the log */
    relay_session(event_loop &loop, executor_client &executors, const relay_settings &settings, std::shared_ptr<relay_work> work, std::string leader);
    relay_session(const relay_session &) = delete;
    relay_session &operator=(const relay_session &) = delete;
    ~relay_session() = default;

    /** Carries out the orders of a message. Replies at once to a message without orders, which is also the first one of each session.
        @param reply used for all results until the next message */
    void handle(const wire::relay_orders &message, const peer_server::reply_function &reply);

    /** Announces in every message from now on that this entry host shuts down. Orders are still carried out. */
    void leave();

    /** When the last message was received. */
    time_point lastMessageAt() const;

private:
    std::string rejectionReason(duration delay, duration valid) const;
    void carryOut(const wire::relay_order &order, const std::vector<std::string> &payloads, time_point validUntil);
    void reject(const wire::relay_order &order, order_result result, const std::string &reason);
    template <typename Response> std::function<void(Response)> completion(std::int64_t number);
    template <typename Response> void addResult(std::int64_t number, const Response &response);
    void sendResults();

    event_loop &m_loop;
    executor_client &m_executors;
    const relay_settings &m_settings;
    std::shared_ptr<relay_work> m_work;
    std::string m_leader;
    peer_server::reply_function m_reply;
    clock_offset m_offset;
    time_point m_lastMessageAt{};
    bool m_hasOrders = false; /**< Has received an order. */
    bool m_isClosed = false; /**< Its clock offset is not known any more: nothing was received for longer than maximumSessionGap. */
    bool m_isLeaving = false;
    wire::peer_message m_results; /**< Message under construction; its vectors keep their capacity. */
    std::size_t m_resultBytes = 0;
    bool m_isSendScheduled = false;
    timer_subscription m_sendTimer;
    logger m_log{"relay"};
};

} // namespace parsleyglade
