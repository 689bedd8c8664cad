#include "deployment.h"

#include <numeric>
#include <utility>

namespace parsleyglade {

namespace {

pool_model makeSpreadPool(std::string name, double shortRunSeconds, std::size_t endpoints, std::size_t first, std::size_t dataCentres, bool isSpare)
{
    pool_model pool{std::move(name), shortRunSeconds, std::vector<std::size_t>(dataCentres, 0), isSpare};
    for (std::size_t index = 0; index < endpoints; ++index) {
        pool.endpointsByDataCentre[(first + index) % dataCentres] += 1;
    }

    return pool;
}

} // namespace

std::size_t pool_model::endpointCount() const
{
    return std::accumulate(endpointsByDataCentre.begin(), endpointsByDataCentre.end(), std::size_t{0});
}

std::size_t deployment::endpointCount() const
{
    return std::accumulate(pools.begin(), pools.end(), std::size_t{0}, [](std::size_t sum, const pool_model &pool) { return sum + pool.endpointCount(); });
}

deployment hungPhat()
{
    return {"hung-phat",
            {2, 2, 2, 1},
            {makeSpreadPool("scan-intake", 0.15, 12, 0, 4, false), makeSpreadPool("lathe-planning", 0.3, 10, 1, 4, false),
             makeSpreadPool("fitting-analysis", 0.2, 10, 2, 4, false), makeSpreadPool("insole-planning", 0.25, 9, 3, 4, false),
             makeSpreadPool("back-office", 0.2, 8, 0, 4, true)},
            std::chrono::microseconds{1500}};
}

deployment australPistas()
{
    return {"austral-pistas",
            {2, 2, 1, 1},
            {makeSpreadPool("flood-planning", 0.4, 10, 0, 4, false), makeSpreadPool("pebbling", 0.2, 12, 1, 4, false),
             makeSpreadPool("ice-repair", 0.3, 9, 2, 4, false), makeSpreadPool("league-ice", 0.25, 11, 3, 4, false),
             makeSpreadPool("office", 0.2, 8, 0, 4, true)},
            std::chrono::microseconds{500}};
}

deployment twoYearSize()
{
    return scaledDeployment("two-year-size", 890, 164, 9, 3);
}

deployment scaledDeployment(std::string name, std::size_t workers, std::size_t pools, std::size_t dataCentres, std::size_t entryHostsPerDataCentre)
{
    deployment result{std::move(name), std::vector<std::size_t>(dataCentres, entryHostsPerDataCentre), {}, std::chrono::milliseconds{2}};
    for (std::size_t index = 0; index < pools; ++index) {
        pool_model pool{"pool-" + std::to_string(index), 0.2 + 0.05 * static_cast<double>(index % 4), std::vector<std::size_t>(dataCentres, 0)};
        const std::size_t endpoints = workers / pools + (index < workers % pools ? 1 : 0);
        pool.endpointsByDataCentre[index % dataCentres] = (endpoints + 1) / 2;
        pool.endpointsByDataCentre[(index + 1) % dataCentres] += endpoints / 2;
        result.pools.push_back(std::move(pool));
    }

    return result;
}

} // namespace parsleyglade
