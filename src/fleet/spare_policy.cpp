#include "fleet/spare_policy.h"

namespace parsleyglade {

pool_wish decideWish(spare_policy &policy, const std::string &pool, const pool_sample &sample, time_point now)
{
    pool_wish wish = std::visit([&sample, now](auto &chosen) { return chosen.decide(sample, now); }, policy);
    wish.pool = pool;
    wish.dataCentres = sample.dataCentres;
    return wish;
}

} // namespace parsleyglade
