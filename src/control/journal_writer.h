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
 * Appends the leader's batches, one at a time, each on the condition that the journal ends where this writer left it. Only one of two
 * writers can meet the condition, so a conflict means that another entry host leads. An append without an answer is repeated with the
 * same condition, and the writer reads meanwhile whose record stands at its place.
 */
class journal_writer
{
public:
    /** Key of the record with which each append begins; its value is a wire::batch_record. */
    static constexpr const char *batchKey = "b";

    /** @param end Offset at which the journal ends.
        @param deposed called once when another writer's record was found. */
    journal_writer(timer_service &timers, keyed_store &store, const control_settings &settings, std::uint64_t end, std::function<void()> deposed);
    journal_writer(const journal_writer &) = delete;
    journal_writer &operator=(const journal_writer &) = delete;
    ~journal_writer() = default;

    /** Appends the entries. The callback runs when they are certainly in the journal, with the offset of the first record.
        @pre !isBusy() */
    void append(wire::batch_record header, std::vector<journal_entry> entries, std::function<void(std::uint64_t offset)> done);

    bool isBusy() const;

    /** When the last append that the journal confirmed was sent. */
    time_point lastConfirmed() const;

private:
    void send();
    void handleAppendResult(const store_append_result &result);
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
    std::int64_t m_sequence = 0;
    std::vector<journal_entry> m_entries;
    std::function<void(std::uint64_t)> m_done;
    time_point m_firstSentAt{}; /**< When the append under way was sent for the first time. */
    time_point m_sentAt{};
    time_point m_lastConfirmed{};
    bool m_mayHaveBeenAppended = false; /**< An earlier try of this append got no answer. */
    bool m_isStalled = false;
    bool m_isSendPending = false; /**< An append is under way, or will be sent again. */
    std::uint64_t m_attempt = 0; /**< Number of the last append that was sent; answers to earlier ones are ignored. */
    timer_subscription m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"journal"};
};

} // namespace parsleyglade
