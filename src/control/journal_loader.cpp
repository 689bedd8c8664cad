#include "control/journal_loader.h"

namespace parsleyglade {

namespace {

// The watch is extended by this many round trips, because a leader needs a few of them to repeat a failed append.
constexpr int watchRoundTrips = 3;

// Sorts after every key of the journal, so that a page after it holds no records but the offset at which the journal ends.
constexpr const char *afterLastKey = "~";

// Maximum size of a read while the journal is watched. It can be small, because only the presence of records matters.
constexpr std::size_t watchReadBytes = std::size_t{16} * 1024;

} // namespace

journal_loader::journal_loader(const timer_service &timers, keyed_store &store, const scheduler_settings &settings, duration silenceTimeout,
                               std::function<void(result)> done)
    : m_timers(timers)
    , m_store(store)
    , m_reader(timers, store, settings)
    , m_silenceTimeout(silenceTimeout)
    , m_done(std::move(done))
{
}

void journal_loader::setCopy(journal_copy copy)
{
    m_reader.resume(std::move(copy));
}

void journal_loader::setRefusedEnd(std::uint64_t end, duration watch)
{
    m_refusedEnd = end;
    m_refusedWatch = watch;
}

void journal_loader::setGrace(duration grace)
{
    m_grace = grace;
}

void journal_loader::start()
{
    m_startedAt = m_timers.now();
    m_requestedAt = m_startedAt;
    if (m_reader.isLoaded()) {
        catchUp(duration::zero());
        return;
    }
    if (m_refusedEnd) {
        m_end = *m_refusedEnd;
        awaitSuccessor();
        return;
    }
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
    measureRoundTrip();
    if (m_end == 0) {
        load(); // the journal is empty
        return;
    }
    readLastRecord();
}

/** Extends the watch by the time of the first response. */
void journal_loader::measureRoundTrip()
{
    if (!m_isRoundTripMeasured) {
        m_isRoundTripMeasured = true;
        m_silenceTimeout += watchRoundTrips * (m_timers.now() - m_requestedAt);
    }
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
    if (read.status == store_read_status::ok) {
        m_end = read.next;
    }
    if (!read.records.empty() && journal_reader::hasResigned(read.records.back())) {
        awaitSuccessor();
    } else if (!m_wasAppendedTo || mayKeepWatching()) {
        watch();
    } else {
        finish(journal_state::active);
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
        awaitSuccessor();
        return;
    }
    m_wasAppendedTo = true;
    m_end = read.end;
    if (read.next < m_end) {
        // The batch is larger than the read, and a resignation is the last record of its batch.
        readLastRecord();
    } else if (journal_reader::hasResigned(read.records.back())) {
        awaitSuccessor();
    } else if (mayKeepWatching()) {
        watch();
    } else {
        finish(journal_state::active);
    }
}

/** Whether appended records do not end the watch: a leader that resigns may first append a batch that was already under way. */
bool journal_loader::mayKeepWatching() const
{
    return m_isResignationExpected && m_timers.now() - m_startedAt < m_silenceTimeout;
}

/** Loads the journal, after the grace period in favour of entry hosts that need not load it. */
void journal_loader::awaitSuccessor()
{
    if (m_grace == duration::zero()) {
        load();
        return;
    }
    m_store.read(store_topic::journal, m_end, {m_grace, watchReadBytes}, whileExists(&journal_loader::handleGraceResult));
}

void journal_loader::handleGraceResult(const store_read_result &read)
{
    if (read.status != store_read_status::ok) {
        finish(journal_state::unavailable, read.reason);
    } else if (!read.records.empty()) {
        m_end = read.end;
        finish(journal_state::active);
    } else {
        load();
    }
}

std::function<void(const store_read_result &)> journal_loader::whileExists(read_handler handler)
{
    return [this, handler, alive = std::weak_ptr<bool>(m_alive)](const store_read_result &read) {
        if (alive.lock()) {
            (this->*handler)(read);
        }
    };
}

void journal_loader::load()
{
    // Of several entry hosts that load the journal at the same time, the others stop when the first one has taken over.
    m_reader.load(journal_reader::append_policy::give_up, [this](journal_reader::load_state state, const std::string &failureReason) {
        switch (state) {
        case journal_reader::load_state::loaded:
            catchUp(duration::zero());
            break;
        case journal_reader::load_state::appended_to:
            finish(journal_state::active);
            break;
        case journal_reader::load_state::unavailable:
            finish(journal_state::unavailable, failureReason);
            break;
        }
    });
}

void journal_loader::catchUp(duration wait)
{
    m_requestedAt = m_timers.now();
    m_reader.readOn(wait, [this, wait](const store_read_result &read) { handleCatchUp(read, wait > duration::zero()); });
}

/** Handles records that follow the loaded ones. */
void journal_loader::handleCatchUp(const store_read_result &read, bool isWatch)
{
    if (read.status == store_read_status::trimmed && !m_wasReloaded) {
        m_wasReloaded = true;
        load();
        return;
    }
    if (read.status != store_read_status::ok) {
        finish(journal_state::unavailable, read.reason);
        return;
    }
    measureRoundTrip();
    if (read.next < read.end) {
        catchUp(duration::zero());
        return;
    }
    const journal_copy &copy = m_reader.copy();
    const duration neededWatch = m_refusedEnd == copy.end ? m_refusedWatch : m_silenceTimeout;
    const bool isSilent = isWatch && read.records.empty();
    if (isSilent || copy.hasNoWriter || m_watchedEnd == copy.end || neededWatch == duration::zero()) {
        finish(journal_state::silent);
    } else if (isWatch && !mayKeepWatching()) {
        finish(journal_state::active);
    } else {
        catchUp(neededWatch);
    }
}

void journal_loader::finish(journal_state state, std::string reason)
{
    result loaded;
    loaded.state = state;
    loaded.end = m_end;
    loaded.reason = std::move(reason);
    loaded.loaded = m_reader.loaded();
    if (m_reader.isLoaded()) {
        journal_copy copy = m_reader.takeCopy();
        loaded.end = copy.end;
        loaded.hasResigned = copy.hasNoWriter;
        if (state == journal_state::silent) {
            loaded.restored = std::move(copy.state);
        } else {
            loaded.copy = std::move(copy);
        }
    }
    const auto done = std::exchange(m_done, nullptr);
    done(std::move(loaded));
}

} // namespace parsleyglade
