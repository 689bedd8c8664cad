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
 * Watches whether anybody writes to the journal, and reads it into a scheduler when nobody does. The journal is large and its readers are
 * many after a loss of the leader, so nothing but its last record is read while somebody writes. Used once.
 */
class journal_loader
{
public:
    enum class journal_state {
        silent, /**< Nobody has written while it was watched; the scheduler has everything. */
        active, /**< Somebody writes. */
        unavailable,
    };

    struct result
    {
        journal_state state = journal_state::unavailable;
        std::unique_ptr<scheduler> restored; /**< When silent. */
        bool hasResigned = false; /**< The last writer has given up its right, or nobody ever wrote. */
        std::uint64_t end = 0; /**< Offset at which the journal ends. */
        std::string reason;
    };

    /** @param silence how long to watch, beside some round trips of a slow store; not at all where the last writer has resigned or nobody
        ever wrote. */
    journal_loader(const timer_service &timers, keyed_store &store, const scheduler_settings &settings, duration silence, std::function<void(result)> done);
    journal_loader(const journal_loader &) = delete;
    journal_loader &operator=(const journal_loader &) = delete;
    ~journal_loader() = default;

    void start();

private:
    void handleEnd(const store_page &page);
    void handleLastRecord(const store_read_result &read);
    void watch();
    void handleWatchResult(const store_read_result &read);
    void loadPage();
    void handlePage(const store_page &page);
    void catchUp(duration wait);
    void handleReadResult(const store_read_result &read, bool isWatch);
    std::function<void(const store_read_result &)> whileExists(void (journal_loader::*step)(const store_read_result &));
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
    std::optional<std::uint64_t> m_watchedEnd; /**< The end of the journal during the whole watch. */
    bool m_isFirstPage = true;
    bool m_hasNoWriter = true; /**< Nobody has written, or the last writer has resigned. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"journal"};
};

} // namespace parsleyglade
