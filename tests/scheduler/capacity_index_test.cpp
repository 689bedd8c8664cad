#include "scheduler/capacity_index.h"

#include <algorithm>
#include <memory>
#include <random>
#include <rapidcheck/catch.h>

using namespace parsleyglade;

namespace {

constexpr std::int64_t smallestDemand = 3'000; // megabytes

struct modelled_fleet
{
    explicit modelled_fleet(int size)
    {
        for (int number = 0; number < size; ++number) {
            executor_state &executor = *executors.emplace_back(std::make_unique<executor_state>());
            executor.description.id = "executor-" + std::to_string(number);
            executor.description.service = "service-" + std::to_string(number % 2);
            executor.description.rack = "rack-" + std::to_string(number % 3);
            executor.description.capacity = {16'000, 32'000, 0};
        }
    }

    /** What the index should list for a service, by looking at all executors. */
    std::vector<std::string> expected(const std::string &service, const capacity_index &index) const
    {
        std::vector<std::pair<std::int64_t, std::string>> rows;
        for (const auto &executor : executors) {
            if (index.contains(*executor) && executor->description.service == service) {
                const resources available = executor->availableCapacity();
                rows.emplace_back(available.memoryMegabytes < smallestDemand ? 0 : available.cpuMillicores, executor->description.id);
            }
        }
        std::sort(rows.begin(), rows.end());
        std::vector<std::string> ids;
        std::transform(rows.begin(), rows.end(), std::back_inserter(ids), [](const auto &row) { return row.second; });
        return ids;
    }

    std::vector<std::unique_ptr<executor_state>> executors;
};

std::vector<std::string> listed(const capacity_index::entries &entries)
{
    std::vector<std::string> ids;
    std::transform(entries.begin(), entries.end(), std::back_inserter(ids), [](const capacity_index::entry &entry) { return entry.executor->description.id; });
    return ids;
}

} // namespace

// Guards against an index that differs from a look at all executors after changes of capacity, service or rack, so that work goes to the wrong executor.
TEST_CASE("the index lists what a look at all executors finds")
{
    rc::prop("after random changes", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        modelled_fleet fleet(12);
        capacity_index index;
        index.noteDemand("service-0", 2 * smallestDemand);
        index.noteDemand("service-1", smallestDemand);
        for (int change = 0; change < 200; ++change) {
            executor_state &executor = *fleet.executors[random() % fleet.executors.size()];
            switch (random() % 5) {
            case 0:
                index.remove(executor);
                continue;
            case 1:
                executor.description.service = "service-" + std::to_string(random() % 2);
                break;
            case 2:
                executor.description.rack = "rack-" + std::to_string(random() % 3);
                break;
            default:
                executor.used = {static_cast<std::int64_t>(random() % 9) * 2'000, static_cast<std::int64_t>(random() % 12) * 2'900, 0};
                break;
            }
            index.update(executor);
        }
        index.noteDemand("service-0", smallestDemand); // a smaller demand brings executors back that had too little memory for the others
        for (const std::string service : {"service-0", "service-1"}) {
            RC_ASSERT(listed(index.ofService(service)) == fleet.expected(service, index));
            std::size_t onRacks = 0;
            std::int64_t capacity = 0;
            for (const std::string rack : {"rack-0", "rack-1", "rack-2"}) {
                for (const capacity_index::entry &entry : index.onRack(service, rack)) {
                    RC_ASSERT(entry.executor->description.rack == rack);
                    capacity += entry.executor->description.capacity.cpuMillicores;
                    ++onRacks;
                }
            }
            RC_ASSERT(onRacks == index.ofService(service).size());
            const auto known = index.capacities().find(service);
            RC_ASSERT((known == index.capacities().end() ? 0 : known->second) == capacity);
        }
    });
}
