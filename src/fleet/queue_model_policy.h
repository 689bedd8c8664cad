#pragma once

#include "fleet/burst_tracker.h"
#include "fleet/pool_demand.h"
#include "fleet/pool_sample.h"

namespace parsleyglade {

/**
 * Spare capacity policy based on a queueing model, with hysteresis and a move cost.
 *
 * The number of hosts follows from the offered load by square-root staffing, plus the capacity that clears the queue within clearTime.
 * Hysteresis: lent hosts are retained until they have not been needed for holdTime. Move cost: further hosts are demanded only if the
 * burst is expected to last moveCostFactor times as long as a move, because a draining host serves no pool and the lending pool may have
 * the next burst.
 */
class queue_model_policy
{
public:
    struct settings
    {
        double staffingMargin = 1.0; /**< Slots added to the offered load, as a multiple of its square root. */
        duration clearTime = std::chrono::seconds(2); /**< Time within which the queue should be cleared. */
        duration holdTime = std::chrono::seconds(2); /**< Time for which hosts are retained after they were last needed. */
        double moveCostFactor = 10.0; /**< Minimum expected length of a burst, as a multiple of the move time. */
        double smoothing = 0.6; /**< Weight of the newest arrival rate in its moving average, 0 to 1. */
    };

    explicit queue_model_policy(settings values);

    /** Updates the policy with the sample of one interval and returns the demand, without its pool and data centres. @see decideDemand */
    pool_demand decide(const pool_sample &sample, time_point now);

private:
    std::int64_t neededHosts(const pool_sample &sample) const;

    settings m_settings;
    double m_rate = 0;
    bool m_isFirst = true;
    time_point m_lastNeeded{};
    std::int64_t m_retainedHosts = 0;
    burst_tracker m_bursts;
};

} // namespace parsleyglade
