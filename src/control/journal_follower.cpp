#include "control/journal_follower.h"

namespace parsleyglade {

namespace {

// Each call to the store has its price, and a takeover reads what the copy lacks in one more call, so a long poll would gain nothing.
constexpr duration readInterval = std::chrono::milliseconds{250};

// Delay before the journal is loaded again after a failure. Longer than readInterval, because loading takes many calls.
constexpr duration loadRetryDelay = std::chrono::seconds{1};

} // namespace

journal_follower::journal_follower(timer_service &timers, keyed_store &store, const scheduler_settings &settings, control_metrics &metrics)
    : m_timers(timers)
    , m_metrics(metrics)
    , m_reader(timers, store, settings)
{
}

void journal_follower::start()
{
    load();
}

void journal_follower::resume(journal_copy copy)
{
    m_reader.resume(std::move(copy));
    m_timer = m_timers.after(readInterval, [this] { readNext(); });
}

bool journal_follower::isLoaded() const
{
    return m_reader.isLoaded();
}

journal_copy journal_follower::takeCopy()
{
    m_timer.cancel();
    return m_reader.takeCopy();
}

void journal_follower::load()
{
    m_reader.load(journal_reader::append_policy::go_on, [this](journal_reader::load_state state, const std::string &failureReason) {
        if (state != journal_reader::load_state::loaded) {
            handleFailure(failureReason);
            m_timer = m_timers.after(loadRetryDelay, [this] { load(); });
            return;
        }
        const journal_load &loaded = m_reader.loaded();
        m_metrics.countCopy(loaded);
        m_log.notice("keeps a copy of the journal",
                     {{"jobs", m_reader.copy().state->jobCount()},
                      {"pages", loaded.pages},
                      {"records", loaded.records},
                      {"bytes", loaded.bytes},
                      {"loadMs", std::chrono::duration_cast<std::chrono::milliseconds>(loaded.elapsed).count()}});
        readNext();
    });
}

void journal_follower::readNext()
{
    m_reader.readOn(duration::zero(), [this](const store_read_result &read) { handleRead(read); });
}

void journal_follower::handleRead(const store_read_result &read)
{
    switch (read.status) {
    case store_read_status::trimmed:
        m_log.info("records were trimmed before they were read; loading the journal again", {{"next", m_reader.copy().end}});
        load();
        return;
    case store_read_status::unavailable:
        handleFailure(read.reason);
        break;
    case store_read_status::ok:
        handleSuccess();
        if (read.next < read.end) {
            readNext();
            return;
        }
        break;
    }
    m_timer = m_timers.after(readInterval, [this] { readNext(); });
}

void journal_follower::handleFailure(const std::string &reason)
{
    if (!m_isUnavailable) {
        m_isUnavailable = true;
        m_log.warning("failed to read the journal for its copy; retrying", {{"reason", reason}});
    }
}

void journal_follower::handleSuccess()
{
    if (m_isUnavailable) {
        m_isUnavailable = false;
        m_log.info("reading the journal for its copy succeeds again");
    }
}

} // namespace parsleyglade
