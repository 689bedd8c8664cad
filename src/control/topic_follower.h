#pragma once

#include "control/keyed_store.h"
#include "core/timer_service.h"
#include "runtime/logger.h"

#include <functional>
#include <set>
#include <string>

namespace parsleyglade {

/**
 * Follows the newest record of each key of a topic: loads the newest records, then reads new ones as they are appended. When more was appended than
 * one read returns, or when the log has removed records before they were read, it loads the newest records again instead of reading every record in
 * between, and reports keys that no longer exist as removed.
 */
class topic_follower
{
public:
    struct settings
    {
        /** How long a read waits for the next record. A connection may stall without being closed, so this bounds the delay of a record. */
        duration wait = std::chrono::milliseconds{600};
        std::size_t maximumReadBytes = store_read_bounds().maximumBytes; /**< Maximum size of one read; its first record is returned whatever its size. */
        duration readInterval{}; /**< Delay between the end of a read and the start of the next one. */
        duration retryDelay = std::chrono::milliseconds{100}; /**< Delay before a failed read is retried. */
    };

    /** @param recordChanged called with each record in order; an empty value means that the key was removed. A record may be reported more than once.
        @param caughtUp called each time all records of the topic have been reported. */
    topic_follower(timer_service &timers, keyed_store &store, store_topic topic, settings followerSettings,
                   std::function<void(const store_record &)> recordChanged, std::function<void()> caughtUp);
    topic_follower(const topic_follower &) = delete;
    topic_follower &operator=(const topic_follower &) = delete;
    ~topic_follower() = default;

    /** Starts loading. @pre not started before */
    void start();

    /** Whether all records have been loaded at least once. */
    bool isLoaded() const;

    /** Whether the last read has failed. */
    bool isUnavailable() const;

    /** Time of the last successful response of the store; the epoch of the clock when there was none. */
    time_point lastContact() const;

    /** The latest time for which every record appended before it has certainly been reported. */
    time_point currentAsOf() const;

private:
    void load();
    void handlePage(const store_page &page);
    void readNext();
    void handleReadResult(const store_read_result &result);
    void report(const store_record &record);
    void logLargeRead(const std::vector<store_record> &records) const;
    void schedule(duration delay, void (topic_follower::*nextStep)());
    void handleFailure(const std::string &reason);
    void handleSuccess();

    timer_service &m_timers;
    keyed_store &m_store;
    store_topic m_topic;
    settings m_settings;
    std::function<void(const store_record &)> m_recordChanged;
    std::function<void()> m_caughtUp;
    std::set<std::string> m_keys;
    std::set<std::string> m_loadedKeys;
    std::string m_afterKey;
    std::uint64_t m_next = 0;
    bool m_isFirstPage = true;
    bool m_isLoaded = false;
    bool m_isUnavailable = false;
    time_point m_lastContact{};
    time_point m_currentAsOf{};
    time_point m_requestedAt{}; /**< When the read in flight was sent. */
    time_point m_loadStartedAt{};
    time_point m_unavailableSince{};
    int m_failures = 0; /**< Consecutive failed reads. */
    timer_subscription m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"store"};
};

} // namespace parsleyglade
