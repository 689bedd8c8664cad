#include "plan_time.h"

#include "deployment.h"

#include "records/fleet_fold.h"
#include "records/fleet_record_builder.h"

#include <algorithm>
#include <chrono>

namespace parsleyglade {

plan_time_result measurePlanTime(std::size_t hosts, std::size_t pools, int repetitions)
{
    deployment fleet = makeFleet(hosts, pools);
    fleet.tables.pools.back().isSpare = true;
    fleet_health health;
    for (const fleet_host &host : fleet.tables.hosts) {
        health[host.name] = host_health::healthy;
    }

    fleet_fold fold;
    std::int64_t id = 100;
    const auto append = [&](const wire::fleet_record &record) {
        fold.apply(fold.nextOffset(), record);
    };
    const auto plan = wave_planner({}).planCycle(fleet.tables, fold.state(), health, [](const fleet_host &) { return true; });
    append(fleet_record_builder(1).setIdentifierAndTime(++id, 1).wavePlanned("cycle", plan.batches, 0, "operator"));
    append(fleet_record_builder(1).setIdentifierAndTime(++id, 1).waveChanged(wire::fleet_action::wave_started, "cycle", 1, "operator"));
    for (std::size_t index = 0; index < 24; ++index) {
        const fleet_host &host = fleet.tables.hosts[index * hosts / 24];
        const fleet_record_builder writer = fleet_record_builder(1).setIdentifierAndTime(++id, 1);
        append(index % 3 == 0 ? writer.moveStarted(host.name, host.dataCentre, host.pool, "pool-1", 0, fold.state().lastPlannedRecord)
                              : writer.drainStarted(drain_scope::host, host.name, "operator"));
    }
    std::vector<pool_demand> demands;
    for (const fleet_pool &pool : fleet.tables.pools) {
        demands.push_back({pool.name, 6, 6, std::nullopt, {"dc-1", "dc-2"}});
    }

    std::vector<double> times;
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        const auto start = std::chrono::steady_clock::now();
        availability_budget budget(fleet.tables, fold.state(), health);
        const wall_time now{std::chrono::hours(1)};
        const auto moves = move_planner({}).plan(fleet.tables, fold.state(), budget, demands, now);
        const auto steps = wave_runner({}).next("cycle", {fleet.tables, fold.state(), health, {}, 0, now}, budget);
        const auto cycle = wave_planner({}).planCycle(fleet.tables, fold.state(), health, [](const fleet_host &) { return true; });
        times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    std::sort(times.begin(), times.end());
    return {hosts, pools, times[times.size() / 2], times.back()};
}

} // namespace parsleyglade
