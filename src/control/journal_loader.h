#pragma once

#include "control/journal_reader.h"
#include "control/keyed_store.h"
#include "core/timer_service.h"
#include "scheduler/scheduler.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace parsleyglade {

/**
 * Watches the journal for appends, and loads it into a scheduler when there are none. The journal is large, and every entry host watches it after
 * the loss of a leader, so only its last record is read while a leader still appends. With a copy of the journal's state only the records that follow
 * it are read. An object is used for one attempt.
 */
class journal_loader
{
public:
    enum class journal_state {
        silent, /**< No record was appended while the journal was watched, or its writer has given way; it was loaded completely. */
        active, /**< A leader appends to the journal. */
        unavailable, /**< The store can't be read. */
    };

    /** Names of the states in metrics, indexed by journal_state. */
    static constexpr std::array<std::string_view, 3> stateNames{"silent", "active", "unavailable"};

    /** The name of the state in metrics. */
    static constexpr std::string_view name(journal_state state)
    {
        return stateNames.at(static_cast<std::size_t>(state));
    }

    struct result
    {
        journal_state state = journal_state::unavailable;
        std::unique_ptr<scheduler> restored; /**< Set only when the journal is silent. */
        bool hasResigned = false; /**< The last writer has resigned, or the journal is empty. */
        std::uint64_t end = 0; /**< Offset at which the journal ends. */
        std::string reason; /**< Set when the store is unavailable. */
        std::optional<journal_copy> copy; /**< Set when the journal is not silent, and all of it had been loaded. */
        journal_load loaded; /**< What this attempt has read, without the records that the watch itself needs. */
    };

    /** @param silenceTimeout how long to watch the journal, in addition to a few round trips to the store. The journal is not watched if its last writer
            has resigned or it is empty.
        @param done called once. */
    journal_loader(const timer_service &timers, keyed_store &store, const scheduler_settings &settings, duration silenceTimeout,
                   std::function<void(result)> done);
    journal_loader(const journal_loader &) = delete;
    journal_loader &operator=(const journal_loader &) = delete;
    ~journal_loader() = default;

    /** Continues from a copy of the journal's state instead of loading all of it. @pre not started */
    void setCopy(journal_copy copy);

    /** States that the leader was refused by the store, and denies nothing from its own state until its next append is confirmed. A journal that ends at this
        offset then needs no watch: the leader has confirmed nothing since. @pre not started
        @param end of the journal as of the leader's last confirmed append.
        @param watch how long to watch the journal nevertheless. */
    void setRefusedEnd(std::uint64_t end, duration watch = {});

    /** Leaves the takeover to other entry hosts for this long before all of the journal is loaded. @pre not started */
    void setGrace(duration grace);

    /** Starts watching. @pre not started before */
    void start();

    /** States that the leader resigns, but may not have recorded it yet. Records that do not end with a resignation then do not end the watch until it has
        lasted for the silence timeout. The journal still counts as silent only when no record was appended for the whole silence timeout. */
    void expectResignation();

private:
    using read_handler = void (journal_loader::*)(const store_read_result &);

    void handleEnd(const store_page &page);
    void measureRoundTrip();
    void readLastRecord();
    void handleLastRecord(const store_read_result &read);
    void watch();
    void handleWatchResult(const store_read_result &read);
    bool mayKeepWatching() const;
    void awaitSuccessor();
    void handleGraceResult(const store_read_result &read);
    void load();
    void catchUp(duration wait);
    void handleCatchUp(const store_read_result &read, bool isWatch);
    std::function<void(const store_read_result &)> whileExists(read_handler handler);
    void finish(journal_state state, std::string reason = {});

    const timer_service &m_timers;
    keyed_store &m_store;
    journal_reader m_reader;
    time_point m_startedAt{};
    time_point m_requestedAt{}; /**< Of the request whose response measures the round trip. */
    duration m_silenceTimeout;
    duration m_grace{};
    std::function<void(result)> m_done;
    std::uint64_t m_end = 0; /**< Of the journal, while it is watched before it is loaded. */
    std::optional<std::uint64_t> m_refusedEnd;
    duration m_refusedWatch{};
    std::optional<std::uint64_t> m_watchedEnd; /**< End of the journal throughout the watch; set when nothing was appended. */
    bool m_isResignationExpected = false; /**< The leader has stated that it resigns. */
    bool m_wasAppendedTo = false; /**< A record was appended while the journal was watched. */
    bool m_isRoundTripMeasured = false;
    bool m_wasReloaded = false; /**< The copy was too old to continue from. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace parsleyglade
