#include "fleet/host_health.h"

#include "fleet/membership.h"

namespace parsleyglade {

host_health healthOf(const endpoint_observation &observation, time_point now)
{
    if (!observation.lastSuccessfulProbe || observation.listed == listed_state::leaving || now - *observation.lastSuccessfulProbe > suspectLimit) {
        return host_health::down;
    }
    return now - *observation.lastSuccessfulProbe > maximumProbeAge ? host_health::suspect : host_health::healthy;
}

} // namespace parsleyglade
