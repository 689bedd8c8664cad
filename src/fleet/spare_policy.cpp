#include "fleet/spare_policy.h"

namespace parsleyglade {

pool_demand decideDemand(spare_policy &policy, const std::string &pool, const pool_sample &sample, time_point now)
{
    pool_demand demand = std::visit([&sample, now](auto &chosen) { return chosen.decide(sample, now); }, policy);
    demand.pool = pool;
    demand.dataCentres = sample.dataCentres;
    return demand;
}

} // namespace parsleyglade
