#pragma once

#include "jobs/claim_fold.h"
#include "jobs/coordinator_action.h"

#include <map>
#include <tuple>

namespace parsleyglade {

/** Names a report: job, attempt and result. */
using report_key = std::tuple<claim_identity, attempt_id, int>;

/** A result that a coordinator has to write to the log. */
struct pending_report
{
    wire::result_entry entry;
    std::optional<wire::kept_answer> answer;
    std::map<reply_handle, time_point> waiting; /**< Handles to acknowledge, each with its deadline. Empty for the coordinator's own findings. */
    bool isInFlight = false;
};

/** The reports that a coordinator holds; repeats of a report join it. */
class pending_reports
{
public:
    /** Adds a report, or joins the held one. @return its name, or nothing when the key is no job key */
    std::optional<report_key> add(const wire::result_entry &entry, std::optional<wire::kept_answer> answer);

    /** The report of a name; null when it is not held. */
    pending_report *find(const report_key &key);

    void remove(const report_key &key);

    /** Names of the reports that are not in flight, at most the given number. */
    std::vector<report_key> takeForBatch(std::size_t maximum);

    /** Marks reports as no longer in flight, so that another batch takes them. */
    void requeue(const std::vector<report_key> &keys);

    /** Handles whose deadline has come; they are removed. */
    std::vector<reply_handle> takeExpired(time_point now);

    /** Every name. */
    std::vector<report_key> all() const;

    /** Every waiting handle; the reports are removed. */
    std::vector<reply_handle> takeAll();

    /** Whether a report waits for a batch. */
    bool hasUnsent() const;

    std::size_t size() const;

private:
    std::map<report_key, pending_report> m_reports;
    std::size_t m_inFlight = 0;
};

/**
 * Whether the fold already says what a report would make it say, or never will.
 *
 * @param isFolded whether a record with the report has been folded since it came in
 */
bool isSettled(const claim_fold &fold, const report_key &key, bool isFolded);

} // namespace parsleyglade
