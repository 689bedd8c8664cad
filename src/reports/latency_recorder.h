#pragma once

#include "core/time_types.h"
#include "reports/quantile_estimator.h"

namespace parsleyglade {

/**
 * Quantiles of recent latencies. An estimate cannot forget single values, so two estimators run with starts half an hour apart, and the
 * older one answers: the quantiles cover the last 30 to 60 minutes.
 */
class latency_recorder
{
public:
    static constexpr std::chrono::minutes restartInterval{30};

    void add(duration latency, wall_time at);

    /** Quantiles at a moment; without jobs when the last job is older than they cover. */
    latency_quantiles quantiles(wall_time at) const;

private:
    static std::int64_t periodOf(wall_time at);

    quantile_estimator m_older;
    quantile_estimator m_newer;
    std::int64_t m_period = 0; /**< The restart interval in which m_newer started, counted from the epoch. */
};

} // namespace parsleyglade
