#pragma once

#include "core/time_types.h"
#include "reports/quantile_estimator.h"

namespace parsleyglade {

/**
 * Estimates quantiles of the latencies of the last 30 to 60 minutes.
 *
 * Single values cannot be removed from an estimate. Two estimators are therefore used whose starts are half an hour apart, and the
 * quantiles are those of the older one.
 */
class latency_recorder
{
public:
    /** Interval after which the older estimator is replaced by a new one. */
    static constexpr std::chrono::minutes restartInterval{30};

    /** Adds the latency of a job that completed at a time. */
    void add(duration latency, wall_time at);

    /** Returns the quantiles at a time. Their count is 0 if the last job is older than the covered period. */
    latency_quantiles quantiles(wall_time at) const;

private:
    static std::int64_t periodOf(wall_time at);

    quantile_estimator m_older;
    quantile_estimator m_newer;
    std::int64_t m_period = 0; /**< Number of the restart interval in which m_newer started, counted from the epoch. */
};

} // namespace parsleyglade
