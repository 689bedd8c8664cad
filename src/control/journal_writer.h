#pragma once

#include "control/control_settings.h"
#include "control/keyed_store.h"
#include "core/timer_service.h"
#include "runtime/logger.h"
#include "wire/wire.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/**
 * Appends the leader's batches to the journal, one at a time, each on the condition that the journal ends at the offset where this writer's last
 * append ended. Only one of two competing writers can meet the condition, so a conflict means that another entry host leads. An append that got no
 * response is retried under the same condition; meanwhile the writer reads the record at that offset to find out who has written it.
 */
class journal_writer
{
public:
    /** Key of the first record of each append. Its value is an encoded wire::batch_record. */
    static constexpr const char *batchKey = "b";

    /** @param end offset at which the journal ends.
        @param deposed called once when another writer has appended; the append in flight is then never confirmed.
        @param refused called each time isRefused() becomes true. */
    journal_writer(timer_service &timers, keyed_store &store, const control_settings &settings, std::uint64_t end, std::function<void()> deposed,
                   std::function<void()> refused = {});
    journal_writer(const journal_writer &) = delete;
    journal_writer &operator=(const journal_writer &) = delete;
    ~journal_writer() = default;

    /** Appends the entries and retries until they are certainly in the journal or another writer is found.
        @param header sent as the first record; writer, sequence and peerAddress are filled in here.
        @param done called with the offset of the first record when the append is confirmed.
        @pre !isBusy() */
    void append(wire::batch_record header, std::vector<journal_entry> entries, std::function<void(std::uint64_t offset)> done);

    /** Gives up an append whose first attempt is refused, instead of retrying it: for a writer that must not compete with a leader that may be able to go on.
        @param givenUp called instead of the append's callback; the append is certainly not carried out. */
    void giveUpWhenRefused(std::function<void()> givenUp);

    /** Whether an append is in flight. */
    bool isBusy() const;

    /** Whether at least two attempts of the append in flight have failed, and none has succeeded for the refusal timeout. */
    bool isRefused() const;

    /** Offset that the next append, or the one in flight, is conditional on. */
    std::uint64_t end() const;

    /** Time at which the last confirmed append was sent, or the time of construction when there was none. If several attempts were made and it is
        unclear which one was carried out, the time of the first one. */
    time_point lastConfirmed() const;

private:
    void send();
    void handleAppendResult(const store_append_result &result);
    void noteFailedAttempt();
    void logFirstFailure(const std::string &reason);
    void handleConflict(const std::string &reason);
    void readOwnPosition();
    void handleReadResult(const store_read_result &result);
    void complete(std::uint64_t offset, time_point sentAt);
    void scheduleRetry();

    timer_service &m_timers;
    keyed_store &m_store;
    const control_settings &m_settings;
    std::uint64_t m_end;
    std::function<void()> m_deposed;
    std::function<void()> m_refused;
    std::function<void()> m_givenUp;
    std::int64_t m_sequence = 0;
    std::vector<journal_entry> m_entries;
    std::function<void(std::uint64_t)> m_done;
    time_point m_firstSentAt{}; /**< When the first attempt of the append in flight was sent. */
    time_point m_sentAt{};
    time_point m_lastConfirmed{};
    bool m_mayHaveBeenAppended = false; /**< An earlier attempt got no response. */
    bool m_isStalled = false;
    bool m_isRefused = false;
    int m_failedAttempts = 0; /**< Of the append in flight. */
    bool m_isSendPending = false; /**< An attempt is in flight or a retry is scheduled. */
    std::uint64_t m_attempt = 0; /**< Number of the last attempt; responses to earlier ones are ignored. */
    timer_subscription m_timer;
    timer_subscription m_refusalTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"journal"};
};

} // namespace parsleyglade
