#pragma once

#include "control/keyed_store.h"
#include "core/timer_service.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace parsleyglade {

/** A keyed store in memory that simulates faults of the real one. Responses are delayed with the timer service. */
class memory_store final : public keyed_store
{
public:
    /** Fault of an append. */
    enum class append_fault {
        none,
        refused,
        request_lost, /**< Not appended, and no response. */
        response_lost, /**< Appended, but no response. */
    };

    explicit memory_store(timer_service &timers);

    void append(store_topic topic, const std::vector<journal_entry> &entries, std::optional<std::uint64_t> expectedEnd,
                std::function<void(store_append_result)> done) override;
    void read(store_topic topic, std::uint64_t from, store_read_bounds bounds, std::function<void(store_read_result)> done) override;
    void readNewest(store_topic topic, const std::string &afterKey, std::function<void(store_page)> done) override;

    /** Appends the entries synchronously, and returns the offset of the first one. */
    std::uint64_t put(store_topic topic, const std::vector<journal_entry> &entries);

    /** Removes all records from the log, so that reads from before its end return trimmed. The newest record of each key is retained. */
    void trimHistory(store_topic topic);

    std::uint64_t end(store_topic topic) const;
    const std::vector<store_record> &records(store_topic topic) const;

    std::deque<append_fault> appendFaults; /**< Faults of the next appends, one each; later appends succeed. */
    bool isDown = false; /**< While set, appends are refused and reads fail. */
    int unansweredReads = 0; /**< Number of the next reads that get no response. */
    std::size_t pageSize = 500; /**< Maximum number of records of a page. */
    std::size_t bytesPerSecond = 0; /**< Rate at which records are transferred; 0 for no limit. */
    std::size_t deliveredPageRecords = 0; /**< Number of records that readNewest() has returned. */
    std::map<store_topic, std::size_t> deliveredReadRecords; /**< Number of records that read() has returned. */

private:
    struct topic_state
    {
        std::vector<store_record> records;
        std::map<std::string, std::uint64_t> newest; /**< Offset of the newest record of each key. */
        std::uint64_t first = 0;
    };

    /** A read that waits for a record. */
    struct waiting_read
    {
        store_topic topic{};
        std::uint64_t from = 0;
        time_point until{};
        std::size_t maximumBytes = 0;
        std::function<void(store_read_result)> done;
    };

    void schedule(duration delay, std::function<void()> action);
    void completeRead(store_topic topic, std::uint64_t from, time_point until, std::size_t maximumBytes, std::function<void(store_read_result)> done);
    void checkWaitingReads();
    duration transferTime(const std::vector<store_record> &records) const;

    timer_service &m_timers;
    std::map<store_topic, topic_state> m_topics;
    std::map<std::uint64_t, timer_subscription> m_pending; /**< Keyed by number, so that each is removed when it is due. */
    std::uint64_t m_scheduled = 0;
    std::vector<waiting_read> m_waitingReads;
    bool m_isWaitTimerRunning = false;
    timer_subscription m_waitTimer; /**< Checks the waiting reads. One for all, because hundreds of reads wait in the tests of large deployments. */
};

} // namespace parsleyglade
