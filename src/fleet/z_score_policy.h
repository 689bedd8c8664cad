#pragma once

#include "fleet/burst_tracker.h"
#include "fleet/pool_demand.h"
#include "fleet/pool_sample.h"

#include <deque>

namespace parsleyglade {

/**
 * Smoothed z-score over query counts, as in the StreamRAG paper (Jeong, Park and Park, Sogang University).
 *
 * The smoothed count is a peak when it lies more than threshold standard deviations above the mean of the last window of filtered
 * counts. Counts enter that window with the weight influence while a peak lasts, so a burst does not raise its own baseline.
 */
class z_score_policy
{
public:
    struct settings
    {
        std::size_t window = 60; /**< Intervals. */
        double threshold = 3.5; /**< Standard deviations. */
        double influence = 0.1; /**< 0 to 1. */
        double smoothing = 0.5; /**< Weight of the newest count, 0 to 1. */
        double targetUtilisation = 0.8;
    };

    explicit z_score_policy(settings values);

    pool_demand decide(const pool_sample &sample, time_point now);

private:
    bool isPeak() const;

    settings m_settings;
    std::deque<double> m_filtered;
    double m_smoothed = 0;
    bool m_first = true;
    burst_tracker m_bursts;
};

} // namespace parsleyglade
