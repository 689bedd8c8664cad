#pragma once

#include "control/relay_session.h"
#include "reports/metric.h"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace parsleyglade {

/** Carries orders of the leader to executors, on every entry host. Keeps nothing but the orders in flight: the leader decides and records, and an executor
    rejects orders of an earlier leader by their fencing token, so a relay need not know who leads. @see relayed_executors */
class executor_relay
{
public:
    /** @param loop, executors, settings must outlive this object */
    executor_relay(event_loop &loop, executor_client &executors, const relay_settings &settings);
    executor_relay(const executor_relay &) = delete;
    executor_relay &operator=(const executor_relay &) = delete;
    ~executor_relay() = default;

    /** Handles a message of another entry host. Returns false when it is of a kind that is not handled here.
        @param reply used for all results of the subscription that the message belongs to */
    bool handlePeer(const peer_identity &peer, const wire::peer_message &message, const peer_server::reply_function &reply);

    /** Tells the leaders that this entry host shuts down, so that they choose another relay. Orders are still carried out. */
    void leave();

    std::vector<metric> metrics() const;

private:
    /** Incarnation of the leader's process, and the id of its subscription. */
    using session_key = std::pair<std::int64_t, std::int64_t>;

    std::shared_ptr<relay_session> openSession(const session_key &key, const peer_identity &peer);

    event_loop &m_loop;
    executor_client &m_executors;
    const relay_settings &m_settings;
    std::shared_ptr<relay_work> m_work = std::make_shared<relay_work>();
    std::map<session_key, std::shared_ptr<relay_session>> m_sessions;
    bool m_isLeaving = false;
};

} // namespace parsleyglade
