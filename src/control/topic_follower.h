#pragma once

#include "control/keyed_store.h"
#include "core/timer_service.h"
#include "runtime/logger.h"

#include <functional>
#include <set>
#include <string>

namespace parsleyglade {

/**
 * Follows the newest record of each key of a topic: loads all, then reads on. Where more has been written than one read brings, it loads
 * the newest again in place of reading every record in between, and likewise after the log has removed records that were not read yet.
 * Keys that have gone meanwhile are then reported as removed.
 */
class topic_follower
{
public:
    struct settings
    {
        /** How long a read waits for the next record. A connection may go silent for good, so this bounds how late a record can be. */
        duration wait = std::chrono::milliseconds{600};
        std::size_t maximumReadBytes = store_read_bounds().maximumBytes; /**< Of one read, beside its first record. */
        duration pause{}; /**< Least time between two reads. */
        duration retry = std::chrono::milliseconds{100}; /**< After a read that failed. */
    };

    /** @param recordChanged called with each record in order; an empty value means that the key was removed.
        @param caughtUp called whenever everything that the store had was reported. */
    topic_follower(timer_service &timers, keyed_store &store, store_topic topic, settings followerSettings,
                   std::function<void(const store_record &)> recordChanged, std::function<void()> caughtUp);
    topic_follower(const topic_follower &) = delete;
    topic_follower &operator=(const topic_follower &) = delete;
    ~topic_follower() = default;

    void start();

    /** Whether everything was loaded once. */
    bool isLoaded() const;

    /** When the store last answered. */
    time_point lastContact() const;

    /** The latest time up to which every record of the topic has been reported for certain. */
    time_point currentAsOf() const;

private:
    void load();
    void handlePage(const store_page &page);
    void readNext();
    void handleReadResult(const store_read_result &result);
    void report(const store_record &record);
    void logLargeRead(const std::vector<store_record> &records) const;
    void schedule(duration delay, void (topic_follower::*step)());
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
    time_point m_requestedAt{}; /**< When the read under way was sent. */
    time_point m_loadStartedAt{};
    time_point m_unavailableSince{};
    int m_failures = 0; /**< Reads in a row that failed. */
    timer_subscription m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"store"};
};

} // namespace parsleyglade
