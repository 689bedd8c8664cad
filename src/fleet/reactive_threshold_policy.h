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
        double highUtilisation = 0.8; /**< Utilisation above which the number of hosts is raised. @see pool_sample::utilisation */
        double lowUtilisation = 0.3; /**< Utilisation below which the number of hosts is lowered. */
        double targetUtilisation = 0.7; /**< Utilisation that the new number of hosts should give. */
    };

    explicit reactive_threshold_policy(settings values);

    /** Returns the demand for the sample of one interval, without its pool and data centres. @see decideDemand */
    pool_demand decide(const pool_sample &sample, time_point now);

private:
    settings m_settings;
};

} // namespace parsleyglade
