#include "fleet/fleet.h"
#include "records/fleet_fold.h"
#include "records/fleet_record_builder.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;

namespace {

/** Two pools of eight hosts in two data centres, with four hosts per rack. Two hosts of each pool may be out; the objective needs no reserve. */
struct wave_fixture
{
    fleet_tables tables{{{"a", "a", false, 0.9, 6, 8}, {"b", "b", false, 0.9, 6, 8}}, {}};
    fleet_fold fold;
    fleet_health health;
    wave_progress progress;
    wave_settings settings;
    double burnRate = 0;
    wall_time now{std::chrono::hours(1)};
    std::int64_t nextRecord = 100;

    wave_fixture()
    {
        for (int index = 0; index < 16; ++index) {
            const std::string name = "h" + std::to_string(index);
            const std::string dataCentre = index / 8 == 0 ? "north" : "south";
            tables.hosts.push_back({name, index % 2 == 0 ? "a" : "b", "r", dataCentre, "rack-" + std::to_string(index / 4)});
            health[name] = host_health::healthy;
        }
    }

    wave_plan planAll() const
    {
        return wave_planner(settings).planCycle(tables, fold.state(), health, [](const fleet_host &) { return true; });
    }

    void append(const wire::fleet_record &record)
    {
        fold.apply(fold.nextOffset(), record);
    }

    fleet_record_builder newRecord()
    {
        return fleet_record_builder(1).setIdentifierAndTime(nextRecord++, now.time_since_epoch().count());
    }

    void startWave()
    {
        append(newRecord().wavePlanned("w", planAll().batches, 0, "operator"));
        append(newRecord().waveChanged(wire::fleet_action::wave_started, "w", 1, "operator"));
    }

    std::vector<wave_decision> advance()
    {
        availability_budget budget(tables, fold.state(), health);
        const auto decisions = wave_runner(settings).next("w", {tables, fold.state(), health, progress, burnRate, now}, budget);
        for (const auto &record : waveRecords(decisions, 1, now, [this] { return nextRecord++; })) {
            append(record);
        }
        return decisions;
    }

    const maintenance_wave &wave() const
    {
        return fold.state().waves.at("w");
    }
};

std::size_t countOf(const std::vector<wave_decision> &decisions, wave_step step)
{
    return static_cast<std::size_t>(std::count_if(decisions.begin(), decisions.end(), [step](const auto &decision) { return decision.step == step; }));
}

} // namespace

// Guards against a batch that takes more hosts of a service than its budget allows, or hosts of two data centres.
TEST_CASE("every planned batch respects the budgets and is in one data centre")
{
    wave_fixture fleet;
    fleet.health["h0"] = host_health::down;
    const auto plan = fleet.planAll();
    CHECK(plan.blocked.empty());
    std::size_t hosts = 0;
    for (const auto &batch : plan.batches) {
        availability_budget budget(fleet.tables, fleet.fold.state(), fleet.health);
        std::set<std::string> dataCentres;
        for (const auto &host : batch) {
            CHECK(budget.tryChargeHost(host));
            dataCentres.insert(std::stoi(host.substr(1)) < 8 ? "north" : "south");
        }
        CHECK(dataCentres.size() == 1);
        hosts += batch.size();
    }
    CHECK(hosts == 16);

    fleet.tables.pools[0].minimumHosts = 8;
    CHECK(fleet.planAll().blocked.size() == 7);
}

// Guards against a wave that stalls, skips hosts or exceeds a budget when a host fails during the wave.
TEST_CASE("a wave maintains every host exactly once within the budgets")
{
    wave_fixture fleet;
    for (fleet_pool &pool : fleet.tables.pools) {
        pool.availabilityObjective = 0.995;
        pool.minimumHosts = 5;
    }
    fleet.startWave();
    std::map<std::string, int> maintained;
    for (int round = 0; round < 200 && fleet.wave().isOpen(); ++round) {
        fleet.health["h9"] = round > 5 && round < 40 ? host_health::down : host_health::healthy;
        for (const auto &decision : fleet.advance()) {
            if (decision.step == wave_step::maintain_host) {
                ++maintained[decision.host];
                fleet.progress[decision.host].maintenance = maintenance_state::done;
            }
        }
        for (const auto &row : availability_budget(fleet.tables, fleet.fold.state(), fleet.health).services()) {
            CHECK(row.available() >= row.minimum);
        }
        fleet.now += std::chrono::seconds(10);
    }
    CHECK(fleet.wave().state == wave_state::finished);
    CHECK(maintained.size() == 16);
    CHECK(std::all_of(maintained.begin(), maintained.end(), [](const auto &entry) { return entry.second == 1; }));
    fleet.advance();
    CHECK(fleet.fold.state().drains.empty());
}

// Guards against a wave that continues while services miss their objectives, and against one that resumes after an operator has paused it.
TEST_CASE("a wave pauses on failures or a high burn rate and resumes by itself, but not after an operator's pause")
{
    wave_fixture fleet;
    fleet.startWave();
    SECTION("burn rate")
    {
        fleet.burnRate = 3;
    }
    SECTION("failures")
    {
        fleet.health["h8"] = fleet.health["h10"] = fleet.health["h13"] = host_health::suspect;
    }
    CHECK(countOf(fleet.advance(), wave_step::drain_host) == 0);
    REQUIRE(fleet.wave().state == wave_state::paused);
    fleet.burnRate = 0.5;
    fleet.health["h8"] = host_health::healthy;
    fleet.now += std::chrono::minutes(9);
    CHECK(fleet.advance().empty());
    fleet.now += std::chrono::minutes(1);
    fleet.advance();
    REQUIRE(fleet.wave().state == wave_state::running);

    fleet.append(fleet.newRecord().waveChanged(wire::fleet_action::wave_paused, "w", fleet.wave().version, "operator"));
    fleet.now += std::chrono::hours(2);
    CHECK(fleet.advance().empty());
    fleet.append(fleet.newRecord().waveChanged(wire::fleet_action::wave_aborted, "w", fleet.wave().version, "operator"));
    CHECK(fleet.wave().state == wave_state::aborted);
}

// Guards against hosts that stay drained after an abort, and against an abort that ends the drain of a host under maintenance.
TEST_CASE("an abort ends the drains of hosts that are not under maintenance")
{
    wave_fixture fleet;
    fleet.startWave();
    REQUIRE(countOf(fleet.advance(), wave_step::drain_host) == 4);
    const std::string host = fleet.fold.state().drains.begin()->second.subject;
    fleet.progress[host].maintenance = maintenance_state::in_progress;
    fleet.append(fleet.newRecord().waveChanged(wire::fleet_action::wave_aborted, "w", fleet.wave().version, "operator"));
    CHECK(countOf(fleet.advance(), wave_step::end_drain) == 3);
    fleet.progress[host].maintenance = maintenance_state::done;
    CHECK(countOf(fleet.advance(), wave_step::end_drain) == 1);
    CHECK(fleet.fold.state().drains.empty());
}

// Guards against a wave that waits indefinitely for a long job, and against a reboot of a host on which a job runs.
TEST_CASE("long jobs are checkpointed after the timeout and never interrupted")
{
    wave_fixture fleet;
    fleet.startWave();
    fleet.advance();
    for (const auto &[id, drain] : fleet.fold.state().drains) {
        fleet.progress[drain.subject].running = 1;
    }
    fleet.now += std::chrono::minutes(10) - std::chrono::seconds(1);
    CHECK(fleet.advance().empty());
    fleet.now += std::chrono::seconds(1);
    CHECK(countOf(fleet.advance(), wave_step::checkpoint_jobs) == 4);
    CHECK(countOf(fleet.advance(), wave_step::maintain_host) == 0);
}

// Guards against late maintenance of a failed rack, and against a plan with hosts that are no longer published.
TEST_CASE("a new plan begins with the failed rack and omits hosts that are no longer published")
{
    wave_fixture fleet;
    fleet.settings.pauseFailureMinimum = 8;
    fleet.startWave();
    for (const std::string host : {"h12", "h13", "h14", "h15"}) {
        fleet.health[host] = host_health::down;
    }
    fleet.tables.hosts.erase(fleet.tables.hosts.begin() + 3);
    CHECK(countOf(fleet.advance(), wave_step::replan) == 1);
    CHECK(fleet.wave().batches.front() == std::vector<std::string>{"h12", "h13", "h14", "h15"});
    const auto decisions = fleet.advance();
    CHECK(countOf(decisions, wave_step::replan) == 0);
    CHECK(decisions.front().host == "h12");
    CHECK(countOf(decisions, wave_step::drain_host) == 4);
}
