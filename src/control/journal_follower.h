#pragma once

#include "control/control_metrics.h"
#include "control/journal_reader.h"
#include "core/timer_service.h"
#include "runtime/logger.h"

namespace parsleyglade {

/**
 * Keeps a copy of the journal's state on an entry host that is named to take over leadership: loads the journal once, and then reads what follows at short
 * intervals. When the log has removed records before they were read, it loads the journal again. The copy is freed with the object.
 */
class journal_follower
{
public:
    /** @param timers, store, metrics must outlive this object. */
    journal_follower(timer_service &timers, keyed_store &store, const scheduler_settings &settings, control_metrics &metrics);
    journal_follower(const journal_follower &) = delete;
    journal_follower &operator=(const journal_follower &) = delete;
    ~journal_follower() = default;

    /** Starts loading. @pre neither start() nor resume() was called */
    void start();

    /** Continues from a copy instead of loading. @pre neither start() nor resume() was called */
    void resume(journal_copy copy);

    /** Whether the copy is complete up to the last read. */
    bool isLoaded() const;

    /** Moves the copy out of this object, which is then of no further use. @pre isLoaded() */
    journal_copy takeCopy();

private:
    void load();
    void readNext();
    void handleRead(const store_read_result &read);
    void handleFailure(const std::string &reason);
    void handleSuccess();

    timer_service &m_timers;
    control_metrics &m_metrics;
    journal_reader m_reader;
    timer_subscription m_timer;
    bool m_isUnavailable = false;
    logger m_log{"journal"};
};

} // namespace parsleyglade
