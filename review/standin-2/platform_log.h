#pragma once

#include "http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/** The platform's metadata store: a log with keyed topics, each of one partition. It keeps its whole history. */
class platform_log
{
public:
    platform_log();

    const std::string &address() const;

    /** Writes a record, as the operator and the executors do. An empty value drops the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** Returns the newest value of a key; empty if there is none. */
    std::string newest(const std::string &topic, const std::string &key);

private:
    struct topic_state
    {
        std::vector<std::string> records; /**< Without their four bytes of length. */
        std::map<std::string, std::uint64_t> newest; /**< Offset of the newest record of each key that has a value. */
    };

    http_response answer(const http_request &request);
    http_response append(const http_request &request);
    http_response read(const http_request &request);
    http_response listNewest(const http_request &request);
    static void add(topic_state &topic, const std::string &record);

    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, topic_state> m_topics;
    http_server m_server;
};

} // namespace review
