#pragma once

#include "runtime/event_loop.h"
#include "transport/http_server.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** Stand-in for the platform's metadata store, with conditional appends, reads that wait for records, pages of the newest record of each key, and
    injected faults. */
class standin_store
{
public:
    /** Fault injected into a request. @see faults */
    enum class fault {
        none,
        busy, /**< Rejected with status 503, without effect. */
        request_lost, /**< Not carried out, and no response is sent. */
        response_lost, /**< Carried out, but no response is sent. */
    };

    explicit standin_store(event_loop &loop);

    /** IP address and port. */
    const std::string &address() const;

    /** Trims all records of a topic: reading them fails, but the newest record of each key stays available. */
    void trimHistory(const std::string &topic);

    std::deque<fault> faults; /**< Faults of the next requests, one each; requests beyond the last entry succeed. */
    std::size_t pageSize = 500; /**< Maximum number of records on a page of the newest records. */

private:
    struct topic_state
    {
        std::vector<std::string> records; /**< Each holds key length, key and value. */
        std::uint64_t first = 0; /**< Offset of the first record that was not trimmed. */
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
