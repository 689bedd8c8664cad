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

/** Ends of jobs of a service within one window, over all entry hosts that answered. */
struct window_burn
{
    end_counts counts;
    std::optional<double> burnRate; /**< Nothing without an objective. */
    std::vector<count_bucket> buckets; /**< Those with ends, oldest first. */
};

/**
 * A planned change after which a service spent more of its budget than before: after − before > 2 × √(after + before), which is twice the
 * standard deviation of the difference if the ends came at random at one rate.
 */
struct burn_coincidence
{
    planned_change change;
    std::uint64_t spentBefore = 0; /**< Ends that spent the budget in as many buckets before. */
    std::uint64_t spentAfter = 0; /**< Ends that spent the budget from the note's bucket to the one coincidenceSpan later. */
    std::chrono::milliseconds bucketLength{0}; /**< Precision of the counts. */
};

/** How long after a planned change its effect is looked for. */
constexpr std::chrono::minutes coincidenceSpan{15};

/** Quantiles over the entry hosts. Those of all jobs together lie between the lowest and the highest of an entry host's own. */
struct latency_range
{
    std::uint64_t count = 0;
    latency_quantiles lowest;
    latency_quantiles highest;
};

/**
 * What a report says of a service.
 *
 * With the objective o and the ends of jobs within a window, burn rate = (spent / total) / (1 − o), and 0 without ends. A rate of 1
 * spends exactly the budget. The budget of three days is allowed = (1 − o) × total, in jobs; left = allowed − spent.
 *
 * The alert is fast when burn(1 h) > 14.4 and burn(5 min) > 14.4, otherwise slow when burn(6 h) > 6 and burn(30 min) > 6, otherwise none.
 * The long window shows that the spending matters, the short one that it still goes on.
 */
struct service_burn
{
    std::string service;
    std::optional<double> objective;
    std::array<window_burn, burnWindowCount> windows;
    std::optional<double> allowedJobs; /**< Nothing without an objective. */
    std::optional<double> remainingShare; /**< left / allowed; negative when overspent, 1 without ends. Nothing without an objective. */
    alert_state alert = alert_state::none;
    std::array<latency_range, latencyClassCount> latencies;
    std::vector<burn_coincidence> coincidences; /**< Those with the greatest rise first. */

    const window_burn &in(burn_window window) const
    {
        return windows.at(static_cast<std::size_t>(window));
    }
};

} // namespace parsleyglade
