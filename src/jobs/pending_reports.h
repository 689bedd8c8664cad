#pragma once

#include "jobs/claim_fold.h"
#include "jobs/coordinator_action.h"

#include <map>
#include <tuple>

namespace parsleyglade {

/** Identifies a report by job, attempt and result. */
using report_key = std::tuple<claim_identity, attempt_id, int>;

/** A result that a coordinator has to append to the log. */
struct pending_report
{
    wire::result_entry entry;
    std::optional<wire::kept_answer> response; /**< Response of a completed job, to be cached; nothing if the report has none. */
    std::map<reply_handle, time_point> waiting; /**< Handles to acknowledge, with their deadlines. Empty for results that the coordinator determined itself. */
    bool isInFlight = false; /**< Part of the batch that is being appended. */
};

/** Reports that a coordinator has not yet acknowledged. Repetitions of a report are merged. */
class pending_reports
{
public:
    /** Adds a report or merges it with the pending one. @return its key, or nothing if the entry's key is not a valid job key */
    std::optional<report_key> add(const wire::result_entry &entry, std::optional<wire::kept_answer> response);

    /** Returns a report, or null if it is not pending. */
    pending_report *find(const report_key &key);

    void remove(const report_key &key);

    /** Marks up to the given number of reports as in flight and returns their keys. */
    std::vector<report_key> selectForBatch(std::size_t maximum);

    /** Marks reports as no longer in flight, so that they become part of another batch. */
    void requeue(const std::vector<report_key> &keys);

    /** Removes and returns the handles whose deadline has passed. */
    std::vector<reply_handle> removeExpired(time_point now);

    /** Keys of all reports. */
    std::vector<report_key> all() const;

    /** Removes all reports and returns their handles. */
    std::vector<reply_handle> removeAll();

    /** Whether a report is not in flight and waits for a batch. */
    bool hasUnsent() const;

    std::size_t size() const;

private:
    std::map<report_key, pending_report> m_reports;
    std::size_t m_inFlight = 0;
};

/**
 * Whether a report needs no further append, because its effect is recorded or can no longer occur.
 *
 * @param isFolded whether a record that contains the report has been applied since the report arrived
 */
bool isSettled(const claim_fold &fold, const report_key &key, bool isFolded);

} // namespace parsleyglade
