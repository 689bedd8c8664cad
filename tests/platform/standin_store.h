#pragma once

#include "runtime/event_loop.h"
#include "transport/http_server.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** A stand-in of the platform's metadata store: conditional appends, reads that wait, the newest record of each key, and its faults. */
class standin_store
{
public:
    /** What becomes of the next calls, one entry each; an empty queue means that nothing goes wrong. */
    enum class fault {
        none,
        busy, /**< 503: nothing was done. */
        request_lost, /**< Neither done nor answered. */
        response_lost, /**< Done, but not answered. */
    };

    explicit standin_store(event_loop &loop);

    const std::string &address() const;

    /** Removes the history of a topic. */
    void trimHistory(const std::string &topic);

    std::deque<fault> faults;
    std::size_t pageSize = 500;

private:
    struct topic_state
    {
        std::vector<std::string> records; /**< Key length, key and value. */
        std::uint64_t first = 0;
    };

    using exchange_pointer = std::shared_ptr<http_exchange>;

    void handle(const exchange_pointer &exchange);
    http_response append(topic_state &topic, const http_request &request);
    http_response newest(const topic_state &topic, const http_request &request) const;
    void read(const std::string &name, const exchange_pointer &exchange, time_point until);

    event_loop &m_loop;
    http_server m_server;
    std::string m_address;
    std::map<std::string, topic_state> m_topics;
    std::vector<timer_subscription> m_waitingReads;
    std::vector<exchange_pointer> m_unansweredExchanges;
};

} // namespace parsleyglade
