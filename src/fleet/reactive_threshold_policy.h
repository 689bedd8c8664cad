#pragma once

#include "fleet/pool_demand.h"
#include "fleet/pool_sample.h"

namespace parsleyglade {

/** Follows utilisation: above the high or below the low threshold it wants the hosts that give the target. The reactive baseline. */
class reactive_threshold_policy
{
public:
    struct settings
    {
        double highUtilisation = 0.8;
        double lowUtilisation = 0.3;
        double targetUtilisation = 0.7;
    };

    explicit reactive_threshold_policy(settings values);

    pool_demand decide(const pool_sample &sample, time_point now);

private:
    settings m_settings;
};

} // namespace parsleyglade
