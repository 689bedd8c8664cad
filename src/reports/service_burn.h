#pragma once

#include "reports/alert_state.h"
#include "reports/burn_window.h"
#include "reports/count_bucket.h"
#include "reports/latency_class.h"
#include "reports/latency_quantiles.h"
#include "reports/planned_change.h"

#include <optional>
#include <vector>

namespace parsleyglade {

/** Ended jobs of a service within one window, summed over all entry hosts in the report. */
struct window_burn
{
    end_counts counts;
    std::optional<double> burnRate; /**< Not set without an objective. */
    std::vector<count_bucket> buckets; /**< Buckets with ended jobs, oldest first. */
};

/**
 * A planned change after which a service spent more of its error budget than before.
 *
 * The condition is after − before > 2 × √(after + before), which is twice the standard deviation of the difference if jobs end at random
 * times at a constant rate.
 */
struct burn_coincidence
{
    planned_change change;
    std::uint64_t spentBefore = 0; /**< Ended jobs that spent the budget, in as many buckets before the change as spentAfter covers. */
    std::uint64_t spentAfter = 0; /**< Ended jobs that spent the budget, from the bucket of the change to the bucket coincidenceSpan later. */
    std::chrono::milliseconds bucketLength{0}; /**< Length of the buckets of both counts, which is their resolution. */
};

/** Time after a planned change that is compared with the time before it. */
constexpr std::chrono::minutes coincidenceSpan{15};

/** Range of the quantiles of the entry hosts. Each quantile over all jobs lies between the lowest and the highest of the entry hosts. */
struct latency_range
{
    std::uint64_t count = 0; /**< Number of jobs over all entry hosts. */
    latency_quantiles lowest;
    latency_quantiles highest;
};

/**
 * The error budget of a service in a burn report.
 *
 * With the objective o and the counts of the jobs that ended within a window, burn rate = (spent / total) / (1 − o), and 0 without ended
 * jobs. A burn rate of 1 spends exactly the budget. The budget of three days is allowed = (1 − o) × total, in jobs;
 * remaining = allowed − spent.
 *
 * The alert is fast if burn(1 h) > 14.4 and burn(5 min) > 14.4, otherwise slow if burn(6 h) > 6 and burn(30 min) > 6, otherwise none.
 * The long window shows that a significant part of the budget is spent, the short window that the spending continues.
 */
struct service_burn
{
    std::string service;
    std::optional<double> objective; /**< Required share of good jobs; not set for a service without an availability objective. */
    std::array<window_burn, burnWindowCount> windows; /**< In the order of burn_window. */
    std::optional<double> allowedJobs; /**< Not set without an objective. */
    std::optional<double> remainingShare; /**< remaining / allowed; negative if overspent, 1 without ended jobs. Not set without an objective. */
    alert_state alert = alert_state::none;
    std::array<latency_range, latencyClassCount> latencies; /**< In the order of latency_class. */
    std::vector<burn_coincidence> coincidences; /**< Those with the greatest increase first. */

    /** Returns the counts and burn rate of a window. */
    const window_burn &in(burn_window window) const
    {
        return windows.at(static_cast<std::size_t>(window));
    }
};

} // namespace parsleyglade
