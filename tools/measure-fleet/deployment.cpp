#include "deployment.h"

namespace parsleyglade {

namespace {

void addHosts(deployment &target, const std::string &pool, std::size_t count, const std::vector<std::string> &dataCentres)
{
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t number = target.tables.hosts.size();
        const std::string &dataCentre = dataCentres[number % dataCentres.size()];
        const std::string rack = dataCentre + "-r" + std::to_string(number / dataCentres.size() / 4);
        target.tables.hosts.push_back({"host-" + std::to_string(number), pool, "region", dataCentre, rack});
    }
}

} // namespace

deployment makeDeployment(const std::string &name)
{
    const bool isAustral = name == "austral-pistas";
    const std::vector<std::string> dataCentres = isAustral ? std::vector<std::string>{"ushuaia", "rio-grande", "el-calafate", "bariloche"}
                                                           : std::vector<std::string>{"an-duong", "le-chan", "hong-bang", "kien-an"};
    const std::vector<std::string> services = isAustral
        ? std::vector<std::string>{"flood-planning", "pebbling", "ice-repair", "league-ice", "office"}
        : std::vector<std::string>{"scan-intake", "lathe-planning", "fitting-analysis", "insole-planning", "back-office"};
    const std::vector<std::size_t> sizes = isAustral ? std::vector<std::size_t>{12, 10, 8, 10, 10} : std::vector<std::size_t>{10, 12, 10, 8, 10};

    deployment result;
    result.name = name;
    for (std::size_t index = 0; index < services.size(); ++index) {
        const bool isSpare = index + 1 == services.size();
        result.tables.pools.push_back({services[index], services[index], isSpare, 0.995, isSpare ? 2 : sizes[index] * 6 / 10, 8});
        addHosts(result, services[index], sizes[index], dataCentres);
    }
    const std::size_t entryHosts = isAustral ? 6 : 7;
    for (std::size_t index = 0; index < entryHosts; ++index) {
        result.entryHostDataCentres.push_back(dataCentres[index % dataCentres.size()]);
    }
    // 5 ms for the request to the log plus two one-way network latencies.
    result.logDelay = std::chrono::milliseconds(5) + (isAustral ? std::chrono::microseconds(1000) : std::chrono::microseconds(3000));
    return result;
}

deployment makeFleet(std::size_t hosts, std::size_t pools)
{
    deployment result;
    result.name = "fleet-" + std::to_string(hosts);
    std::vector<std::string> dataCentres;
    dataCentres.reserve(9);
    for (int index = 0; index < 9; ++index) {
        dataCentres.push_back("dc-" + std::to_string(index));
    }
    for (std::size_t index = 0; index < pools; ++index) {
        const std::size_t count = hosts / pools + (index < hosts % pools ? 1 : 0);
        const std::string name = "pool-" + std::to_string(index);
        result.tables.pools.push_back({name, name, false, 0.995, count * 6 / 10, 8});
        addHosts(result, name, count, dataCentres);
    }
    return result;
}

} // namespace parsleyglade
