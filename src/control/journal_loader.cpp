#include "control/journal_loader.h"

#include "control/journal_writer.h"

namespace parsleyglade {

namespace {

// The watch is extended by this many round trips, because a leader needs a few of them to repeat a failed append.
constexpr int watchRoundTrips = 3;

// Sorts after every key of the journal, so that a page after it holds no records but the offset at which the journal ends.
constexpr const char *afterLastKey = "~";

// Maximum size of a read while the journal is watched. It can be small, because only the presence of records matters.
constexpr std::size_t watchReadBytes = std::size_t{16} * 1024;

/** Whether the record states that its writer has resigned. */
bool hasResigned(const store_record &record)
{
    if (record.key != journal_writer::batchKey) {
        return false;
    }
    const auto header = decode<wire::batch_record>(record.value);
    return header && header->resigned;
}

} // namespace

journal_loader::journal_loader(const timer_service &timers, keyed_store &store, const scheduler_settings &settings, duration silenceTimeout,
                               std::function<void(result)> done)
    : m_timers(timers)
    , m_store(store)
    , m_silenceTimeout(silenceTimeout)
    , m_done(std::move(done))
    , m_scheduler(std::make_unique<scheduler>(settings))
{
}

void journal_loader::start()
{
    m_startedAt = m_timers.now();
    m_store.readNewest(store_topic::journal, afterLastKey, [this, alive = std::weak_ptr<bool>(m_alive)](const store_page &page) {
        if (alive.lock()) {
            handleEnd(page);
        }
    });
}

void journal_loader::expectResignation()
{
    m_isResignationExpected = true;
}

void journal_loader::handleEnd(const store_page &page)
{
    if (!page.isAvailable) {
        finish(journal_state::unavailable, page.reason);
        return;
    }
    m_end = page.end;
    m_silenceTimeout += watchRoundTrips * (m_timers.now() - m_startedAt);
    if (m_end == 0) {
        loadPage(); // the journal is empty
        return;
    }
    readLastRecord();
}

void journal_loader::readLastRecord()
{
    m_store.read(store_topic::journal, m_end - 1, {duration::zero(), watchReadBytes}, whileExists(&journal_loader::handleLastRecord));
}

void journal_loader::handleLastRecord(const store_read_result &read)
{
    if (read.status == store_read_status::unavailable) {
        finish(journal_state::unavailable, read.reason);
        return;
    }
    if (!read.records.empty() && hasResigned(read.records.back())) {
        loadPage();
        return;
    }
    if (read.status == store_read_status::ok) {
        m_end = read.next;
    }
    if (m_wasAppendedTo) {
        handleActivity();
    } else {
        watch();
    }
}

void journal_loader::watch()
{
    m_store.read(store_topic::journal, m_end, {m_silenceTimeout, watchReadBytes}, whileExists(&journal_loader::handleWatchResult));
}

void journal_loader::handleWatchResult(const store_read_result &read)
{
    if (read.status != store_read_status::ok) {
        finish(journal_state::unavailable, read.reason);
        return;
    }
    if (read.records.empty()) {
        m_watchedEnd = m_end;
        loadPage();
        return;
    }
    m_wasAppendedTo = true;
    m_end = read.end;
    if (read.next < m_end) {
        // The batch is larger than the read, and a resignation is the last record of its batch.
        readLastRecord();
    } else if (hasResigned(read.records.back())) {
        loadPage();
    } else {
        handleActivity();
    }
}

/** Handles appended records that do not end with a resignation. */
void journal_loader::handleActivity()
{
    // A leader that resigns may first append a batch that was already under way.
    if (m_isResignationExpected && m_timers.now() - m_startedAt < m_silenceTimeout) {
        watch();
        return;
    }
    finish(journal_state::active);
}

std::function<void(const store_read_result &)> journal_loader::whileExists(void (journal_loader::*handler)(const store_read_result &))
{
    return [this, handler, alive = std::weak_ptr<bool>(m_alive)](const store_read_result &read) {
        if (alive.lock()) {
            (this->*handler)(read);
        }
    };
}

void journal_loader::loadPage()
{
    m_store.readNewest(store_topic::journal, m_afterKey, [this, alive = std::weak_ptr<bool>(m_alive)](const store_page &page) {
        if (alive.lock()) {
            handlePage(page);
        }
    });
}

void journal_loader::handlePage(const store_page &page)
{
    if (!page.isAvailable) {
        finish(journal_state::unavailable, page.reason);
        return;
    }
    if (m_isFirstPage) {
        m_end = page.end;
        m_isFirstPage = false;
    }
    for (const store_record &record : page.records) {
        m_afterKey = record.key;
        restoreRecord(record);
    }
    if (page.hasMore && !page.records.empty()) {
        loadPage();
        return;
    }
    catchUp(duration::zero());
}

void journal_loader::catchUp(duration wait)
{
    m_store.read(store_topic::journal, m_end, {wait}, [this, wait, alive = std::weak_ptr<bool>(m_alive)](const store_read_result &read) {
        if (alive.lock()) {
            handleReadResult(read, wait > duration::zero());
        }
    });
}

void journal_loader::handleReadResult(const store_read_result &read, bool isWatch)
{
    if (read.status != store_read_status::ok) {
        finish(journal_state::unavailable, read.reason);
        return;
    }
    m_end = read.next;
    for (const store_record &record : read.records) {
        restoreRecord(record);
    }

    if (read.records.empty() && (isWatch || m_hasNoWriter || m_watchedEnd == m_end)) {
        finish(journal_state::silent);
    } else if (isWatch && !m_hasNoWriter) {
        finish(journal_state::active);
    } else {
        // Read to the end; if records were appended, read again, otherwise watch for further appends.
        catchUp(read.records.empty() ? m_silenceTimeout : duration::zero());
    }
}

void journal_loader::restoreRecord(const store_record &record)
{
    if (record.key == journal_writer::batchKey) {
        m_hasNoWriter = hasResigned(record);
        return;
    }
    if (!m_scheduler->restore(record.key, record.value)) {
        m_log.error("failed to decode a journal record; skipping it", {{"key", record.key}, {"offset", record.offset}});
    }
}

void journal_loader::finish(journal_state state, std::string reason)
{
    result loaded;
    loaded.state = state;
    loaded.end = m_end;
    loaded.hasResigned = m_hasNoWriter;
    loaded.reason = std::move(reason);
    if (state == journal_state::silent) {
        loaded.restored = std::move(m_scheduler);
    }
    const auto done = std::exchange(m_done, nullptr);
    done(std::move(loaded));
}

} // namespace parsleyglade
