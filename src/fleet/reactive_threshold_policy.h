#pragma once

#include "fleet/pool_demand.h"
#include "fleet/pool_sample.h"

namespace parsleyglade {

/**
 * Spare capacity policy with utilisation thresholds: above highUtilisation or below lowUtilisation it demands the number of hosts that
 * gives targetUtilisation, otherwise the current number. Baseline for comparing the other policies.
 */
class reactive_threshold_policy
{
public:
    struct settings
    {
        double highUtilisation = 0.8; /**< All three as in pool_sample::utilisation. */
        double lowUtilisation = 0.3;
        double targetUtilisation = 0.7;
    };

    explicit reactive_threshold_policy(settings values);

    pool_demand decide(const pool_sample &sample, time_point now);

private:
    settings m_settings;
};

} // namespace parsleyglade
