#pragma once

#include "control/keyed_store.h"
#include "core/timer_service.h"
#include "runtime/logger.h"
#include "scheduler/scheduler.h"
#include "wire/wire.h"

#include <functional>
#include <memory>
#include <optional>

namespace parsleyglade {

/**
 * Watches the journal for appends, and loads it into a scheduler when there are none. The journal is large, and every entry host watches it after
 * the loss of a leader, so only its last record is read while a leader still appends. An object is used for one attempt.
 */
class journal_loader
{
public:
    enum class journal_state {
        silent, /**< No record was appended while the journal was watched; it was loaded completely. */
        active, /**< A leader appends to the journal. */
        unavailable, /**< The store can't be read. */
    };

    struct result
    {
        journal_state state = journal_state::unavailable;
        std::unique_ptr<scheduler> restored; /**< Set only when the journal is silent. */
        bool hasResigned = false; /**< The last writer has resigned, or the journal is empty. */
        std::uint64_t end = 0; /**< Offset at which the journal ends. */
        std::string reason; /**< Set when the store is unavailable. */
    };

    /** @param silenceTimeout how long to watch the journal, in addition to a few round trips to the store. The journal is not watched if its last writer
            has resigned or it is empty.
        @param done called once. */
    journal_loader(const timer_service &timers, keyed_store &store, const scheduler_settings &settings, duration silenceTimeout,
                   std::function<void(result)> done);
    journal_loader(const journal_loader &) = delete;
    journal_loader &operator=(const journal_loader &) = delete;
    ~journal_loader() = default;

    /** Starts watching. @pre not started before */
    void start();

    /** States that the leader resigns, but may not have recorded it yet. Records that do not end with a resignation then do not end the watch until it has
        lasted for the silence timeout. The journal still counts as silent only when no record was appended for the whole silence timeout. */
    void expectResignation();

private:
    void handleEnd(const store_page &page);
    void readLastRecord();
    void handleLastRecord(const store_read_result &read);
    void watch();
    void handleWatchResult(const store_read_result &read);
    void handleActivity();
    void loadPage();
    void handlePage(const store_page &page);
    void catchUp(duration wait);
    void handleReadResult(const store_read_result &read, bool isWatch);
    std::function<void(const store_read_result &)> whileExists(void (journal_loader::*handler)(const store_read_result &));
    void restoreRecord(const store_record &record);
    void finish(journal_state state, std::string reason = {});

    const timer_service &m_timers;
    keyed_store &m_store;
    time_point m_startedAt{};
    duration m_silenceTimeout;
    std::function<void(result)> m_done;
    std::unique_ptr<scheduler> m_scheduler;
    std::string m_afterKey;
    std::uint64_t m_end = 0;
    std::optional<std::uint64_t> m_watchedEnd; /**< End of the journal throughout the watch; set when nothing was appended. */
    bool m_isResignationExpected = false; /**< The leader has stated that it resigns. */
    bool m_wasAppendedTo = false; /**< A record was appended while the journal was watched. */
    bool m_isFirstPage = true;
    bool m_hasNoWriter = true; /**< The journal is empty, or the last writer has resigned. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"journal"};
};

} // namespace parsleyglade
