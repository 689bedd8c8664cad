#include "tables/pool.h"

namespace parsleyglade {

nlohmann::json toJson(const pool &value)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const pool_host &host : value.hosts) {
        hosts.push_back(toJson(host));
    }

    return {
        {"name", value.name},
        {"service", value.service},
        {"region", value.region},
        {"spare", value.spare},
        {"availabilityObjective", value.availabilityObjective},
        {"minimumHosts", value.minimumHosts},
        {"slotsPerHost", value.slotsPerHost},
        {"connectionsPerHost", value.connectionsPerHost},
        {"longJobSlotShare", value.longJobSlotShare},
        {"team", value.team},
        {"hosts", std::move(hosts)},
    };
}

} // namespace parsleyglade
