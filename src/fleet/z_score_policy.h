#pragma once

#include "fleet/burst_tracker.h"
#include "fleet/pool_demand.h"
#include "fleet/pool_sample.h"

#include <deque>

namespace parsleyglade {

/**
 * Spare capacity policy that detects bursts by a smoothed z-score of the arrival counts, as in the StreamRAG paper (Jeong, Park and Park,
 * Sogang University).
 *
 * A smoothed count is a peak if it is more than threshold standard deviations above the mean of the filtered counts of the last window
 * intervals. During a peak, counts enter the window with the weight influence, so that a burst hardly raises its own baseline.
 */
class z_score_policy
{
public:
    struct settings
    {
        std::size_t window = 60; /**< Length of the window, in intervals. */
        double threshold = 3.5; /**< Distance of a peak from the mean, in standard deviations. */
        double influence = 0.1; /**< Weight of a peak's counts in the window, 0 to 1. */
        double smoothing = 0.5; /**< Weight of the newest count in its moving average, 0 to 1. */
        double targetUtilisation = 0.8; /**< Fraction of the slots that should be busy during a peak. */
    };

    explicit z_score_policy(settings values);

    /** Updates the policy with the sample of one interval and returns the demand, without its pool and data centres. @see decideDemand */
    pool_demand decide(const pool_sample &sample, time_point now);

private:
    bool isPeak() const;

    settings m_settings;
    std::deque<double> m_filtered;
    double m_smoothed = 0;
    bool m_isFirst = true;
    burst_tracker m_bursts;
};

} // namespace parsleyglade
