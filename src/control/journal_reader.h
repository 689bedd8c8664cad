#pragma once

#include "control/journal_copy.h"
#include "control/keyed_store.h"
#include "core/timer_service.h"
#include "runtime/logger.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleyglade {

/**
 * Reads the journal into a scheduler: first the newest record of each key, page by page, then the records that follow. One request is in flight at a time,
 * and each response is restored before the next request, so that a process with a small processor share is not kept busy by many of them.
 */
class journal_reader
{
public:
    /** @param timers, store must outlive this object.
        @param settings of the scheduler that the records are restored into. */
    journal_reader(const timer_service &timers, keyed_store &store, const scheduler_settings &settings);
    journal_reader(const journal_reader &) = delete;
    journal_reader &operator=(const journal_reader &) = delete;
    ~journal_reader() = default;

    /** Whether the records are restored up to copy().end. */
    bool isLoaded() const;

    /** How a load has ended. */
    enum class load_state {
        loaded,
        appended_to, /**< Given up, because a record was appended meanwhile. */
        unavailable, /**< The store can't be read. */
    };

    /** Whether a load goes on when records are appended meanwhile, which are then to be read with readOn(). */
    enum class append_policy {
        go_on,
        give_up
    };

    using load_callback = std::function<void(load_state state, const std::string &failureReason)>;

    /** Loads the newest records, in place of what was restored before. @param done called once. Not called after destruction. */
    void load(append_policy policy, load_callback done);

    /** Reads the records from copy().end on, once, and restores them. @pre isLoaded()
        @param wait how long to wait for a record when there is none.
        @param done called once with the response, whose records have been restored. Not called after destruction or takeCopy(). */
    void readOn(duration wait, std::function<void(const store_read_result &)> done);

    /** The state so far. */
    const journal_copy &copy() const;

    /** Moves the state out of this object. @pre isLoaded() */
    journal_copy takeCopy();

    /** Continues from a copy instead of loading. */
    void resume(journal_copy copy);

    /** What was read since construction. */
    const journal_load &loaded() const;

    /** Whether the record states that its writer has resigned. */
    static bool hasResigned(const store_record &record);

private:
    void loadPage();
    void handlePage(const store_page &page);
    void restore(const std::vector<store_record> &records);
    void restoreRecord(const store_record &record);

    const timer_service &m_timers;
    keyed_store &m_store;
    scheduler_settings m_settings;
    journal_copy m_copy;
    journal_load m_load;
    time_point m_requestedAt{};
    append_policy m_policy = append_policy::go_on;
    load_callback m_done;
    std::string m_afterKey;
    bool m_isFirstPage = true;
    bool m_isLoaded = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"journal"};
};

} // namespace parsleyglade
