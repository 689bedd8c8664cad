#pragma once

#include "fleet/burst_tracker.h"
#include "fleet/pool_demand.h"
#include "fleet/pool_sample.h"

namespace parsleyglade {

/**
 * Queue model with hysteresis and move cost.
 *
 * The hosts needed follow from the offered load by square-root staffing, plus what clears the waiting work within clearTime.
 * Hysteresis: lent hosts stay until they have not been needed for holdTime. Move cost: a host is wanted only if the burst is expected
 * to last moveCostFactor times as long as a move, because a host that drains serves nobody and its lender may burst next.
 */
class queue_model_policy
{
public:
    struct settings
    {
        double staffingMargin = 1.0; /**< Square roots of the offered load. */
        duration clearTime = std::chrono::seconds(2);
        duration holdTime = std::chrono::seconds(2);
        double moveCostFactor = 10.0; /**< Move times. */
        double smoothing = 0.6; /**< Weight of the newest rate, 0 to 1. */
    };

    explicit queue_model_policy(settings values);

    pool_demand decide(const pool_sample &sample, time_point now);

private:
    std::int64_t neededHosts(const pool_sample &sample) const;

    settings m_settings;
    double m_rate = 0;
    bool m_first = true;
    time_point m_lastNeeded{};
    std::int64_t m_retainedHosts = 0;
    burst_tracker m_bursts;
};

} // namespace parsleyglade
