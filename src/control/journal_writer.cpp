#include "control/journal_writer.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

namespace {

// Maximum size of a read at the writer's own position. It can be small, because only the first record is needed.
constexpr std::size_t positionReadBytes = std::size_t{16} * 1024;

} // namespace

journal_writer::journal_writer(timer_service &timers, keyed_store &store, const control_settings &settings, std::uint64_t end, std::function<void()> deposed,
                               std::function<void()> refused)
    : m_timers(timers)
    , m_store(store)
    , m_settings(settings)
    , m_end(end)
    , m_deposed(std::move(deposed))
    , m_refused(std::move(refused))
    , m_lastConfirmed(timers.now())
{
}

void journal_writer::append(wire::batch_record header, std::vector<journal_entry> entries, std::function<void(std::uint64_t offset)> done)
{
    assert(!isBusy());
    header.writer = static_cast<std::int64_t>(m_settings.incarnation);
    header.sequence = ++m_sequence;
    header.peerAddress = m_settings.peerAddress;
    m_entries.clear();
    m_entries.push_back({batchKey, encode(header)});
    m_entries.insert(m_entries.end(), std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end()));
    m_done = std::move(done);
    m_mayHaveBeenAppended = false;
    m_failedAttempts = 0;
    m_firstSentAt = m_timers.now();
    send();
}

void journal_writer::giveUpWhenRefused(std::function<void()> givenUp)
{
    m_givenUp = std::move(givenUp);
}

bool journal_writer::isBusy() const
{
    return static_cast<bool>(m_done);
}

bool journal_writer::isRefused() const
{
    return m_isRefused;
}

std::uint64_t journal_writer::end() const
{
    return m_end;
}

time_point journal_writer::lastConfirmed() const
{
    return m_lastConfirmed;
}

void journal_writer::send()
{
    m_sentAt = m_timers.now();
    m_isSendPending = true;
    m_store.append(store_topic::journal, m_entries, m_end,
                   [this, attempt = ++m_attempt, alive = std::weak_ptr<bool>(m_alive)](const store_append_result &result) {
                       if (alive.lock() && attempt == m_attempt && isBusy()) {
                           m_isSendPending = false;
                           handleAppendResult(result);
                       }
                   });
}

void journal_writer::handleAppendResult(const store_append_result &result)
{
    switch (result.status) {
    case store_append_status::appended:
        complete(result.offset, m_sentAt);
        return;
    case store_append_status::conflict:
        handleConflict("conflict");
        return;
    case store_append_status::unknown:
        m_mayHaveBeenAppended = true;
        // On a poor link this small read may get a response when the retried append does not.
        readOwnPosition();
        break;
    case store_append_status::refused:
        if (m_givenUp && !m_mayHaveBeenAppended) {
            m_done = nullptr;
            std::exchange(m_givenUp, nullptr)();
            return;
        }
        break;
    }
    logFirstFailure(result.reason);
    noteFailedAttempt();
    scheduleRetry();
}

/** After the second failed attempt, reports a refusal once the refusal timeout has passed without a confirmation. */
void journal_writer::noteFailedAttempt()
{
    ++m_failedAttempts;
    if (m_failedAttempts != 2) {
        return;
    }
    const duration remaining = m_settings.refusalTimeout - (m_timers.now() - m_firstSentAt);
    m_refusalTimer = m_timers.after(std::max(remaining, duration::zero()), [this] {
        m_isRefused = true;
        if (m_refused) {
            m_refused();
        }
    });
}

void journal_writer::logFirstFailure(const std::string &reason)
{
    if (!m_isStalled) {
        m_isStalled = true;
        m_log.warning("append failed; retrying", {{"reason", reason}, {"end", m_end}, {"sequence", m_sequence}});
    }
}

void journal_writer::handleConflict(const std::string &reason)
{
    if (!m_mayHaveBeenAppended) {
        m_log.warning("deposed: another writer has appended to the journal", {{"reason", reason}, {"end", m_end}});
        m_deposed();
        return;
    }
    readOwnPosition();
}

/** Reads the record at the offset that the append in flight is conditional on, to find out who has written it. */
void journal_writer::readOwnPosition()
{
    m_store.read(store_topic::journal, m_end, {duration::zero(), positionReadBytes},
                 [this, position = m_end, alive = std::weak_ptr<bool>(m_alive)](const store_read_result &result) {
                     if (alive.lock() && isBusy() && position == m_end) {
                         handleReadResult(result);
                     }
                 });
}

void journal_writer::handleReadResult(const store_read_result &result)
{
    const bool isUnwritten = result.status == store_read_status::ok && result.records.empty();
    if (result.status == store_read_status::unavailable || isUnwritten) {
        if (!m_isSendPending) {
            scheduleRetry();
        }
        return;
    }
    if (result.status == store_read_status::ok) {
        const store_record &first = result.records.front();
        const auto header = decode<wire::batch_record>(first.value);
        const bool isOwnRecord = first.offset == m_end && first.key == batchKey && header && header->writer == static_cast<std::int64_t>(m_settings.incarnation)
            && header->sequence == m_sequence;
        if (isOwnRecord) {
            m_log.info("an append without a response was found in the journal", {{"offset", m_end}, {"sequence", m_sequence}});
            // Any of the attempts may have appended it, and another writer may have appended since, so it proves leadership only as of the first.
            complete(m_end, m_firstSentAt);
            return;
        }
    }
    m_log.warning("deposed: another writer has appended to the journal", {{"end", m_end}, {"sequence", m_sequence}});
    m_deposed();
}

void journal_writer::complete(std::uint64_t offset, time_point sentAt)
{
    if (m_isStalled) {
        m_isStalled = false;
        m_log.info("appends succeed again", {{"offset", offset}});
    }
    m_timer.cancel();
    m_refusalTimer.cancel();
    m_isRefused = false;
    m_end = offset + m_entries.size();
    m_lastConfirmed = sentAt;
    const auto done = std::exchange(m_done, nullptr);
    done(offset);
}

void journal_writer::scheduleRetry()
{
    m_isSendPending = true;
    m_timer = m_timers.after(m_settings.storeRetryDelay, [this] { send(); });
}

} // namespace parsleyglade
