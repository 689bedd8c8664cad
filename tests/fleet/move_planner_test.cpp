#include "fleet/fleet.h"
#include "records/fleet_record_builder.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;

namespace {

const wall_time start{std::chrono::seconds(1000)};

/** Pools a and b with two hosts each and a spare pool with six, in two data centres. */
struct planner_fixture
{
    fleet_tables tables{{{"a", "a", false, 0.9, 1, 8}, {"b", "b", false, 0.9, 1, 8}, {"spare", "office", true, 0.9, 2, 8}}, {}};
    fleet_fold fold;
    fleet_health health;
    move_planner planner{{8, std::chrono::seconds(10), std::chrono::seconds(3)}};
    std::int64_t nextRecord = 1;

    planner_fixture()
    {
        for (int index = 0; index < 10; ++index) {
            const std::string pool = index < 2 ? "a" : index < 4 ? "b" : "spare";
            tables.hosts.push_back({"h" + std::to_string(index), pool, "r", index % 2 == 0 ? "north" : "south", "rack"});
            health["h" + std::to_string(index)] = host_health::healthy;
        }
    }

    std::vector<move_decision> plan(const std::vector<pool_demand> &demands, duration elapsed = {}) const
    {
        availability_budget budget(tables, fold.state(), health, 0);
        return planner.plan(tables, fold.state(), budget, demands, start + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed));
    }

    std::size_t append(const std::vector<move_decision> &decisions, bool join = false)
    {
        std::size_t appliedCount = 0;
        const auto apply = [this](const wire::fleet_record &record) {
            return fold.apply(fold.nextOffset(), record) == fleet_fold_status::applied;
        };
        for (const auto &record : moveRecords(decisions, 1, start, [this] { return nextRecord += 7; })) {
            appliedCount += apply(record);
            if (join) {
                apply(fleet_record_builder(1).setIdentifierAndTime(++nextRecord, 0).moveJoined(record.subject, record.epoch + 1));
            }
        }
        return appliedCount;
    }
};

pool_demand makeDemand(const std::string &pool, std::int64_t hosts, std::vector<std::string> dataCentres = {})
{
    return {pool, hosts, hosts, std::nullopt, std::move(dataCentres)};
}

} // namespace

// Guards against moves that take the lending pool below its minimum, and against moves in a data centre that does not need them most.
TEST_CASE("moves respect the lending pool's budget and prefer the data centre in need")
{
    planner_fixture fleet;
    const auto moves = fleet.plan({makeDemand("a", 9, {"south", "north"})});
    REQUIRE(moves.size() == 4);
    CHECK(moves[0].dataCentre == "south");
    CHECK(moves[2].dataCentre == "south");
    CHECK(moves[3].dataCentre == "north");
    fleet.health["h4"] = host_health::suspect;
    CHECK(fleet.plan({makeDemand("a", 9)}).size() == 3);
}

// Guards against a move that completes only after the burst has ended.
TEST_CASE("a move is started only if the expected burst outlasts it")
{
    const planner_fixture fleet;
    auto demand = makeDemand("a", 4);
    demand.expectedDuration = std::chrono::seconds(2);
    CHECK(fleet.plan({demand}).empty());
    demand.expectedDuration = std::chrono::seconds(5);
    CHECK(fleet.plan({demand}).size() == 2);
}

// Guards against two concurrent planners that together use more than the budget allows.
TEST_CASE("of two concurrent plans only the first in the log is applied")
{
    planner_fixture fleet;
    const auto one = fleet.plan({makeDemand("a", 4)});
    const auto other = fleet.plan({makeDemand("b", 5)});
    CHECK(fleet.append(one) == 2);
    CHECK(fleet.append(other) == 0);
    CHECK(fleet.append(fleet.plan({makeDemand("a", 4), makeDemand("b", 5)})) == 2);
}

// Guards against hosts that move back and forth when the demand fluctuates.
TEST_CASE("a moved host stays for the minimum time, then moves directly to the next pool or home")
{
    planner_fixture fleet;
    fleet.append(fleet.plan({makeDemand("a", 4)}), true);
    CHECK(fleet.plan({makeDemand("a", 2), makeDemand("b", 2)}, std::chrono::seconds(5)).empty());
    const auto direct = fleet.plan({makeDemand("a", 2), makeDemand("b", 3)}, std::chrono::seconds(11));
    REQUIRE(direct.size() == 2);
    CHECK(direct[0].fromPool == "a");
    CHECK(direct[0].toPool == "b");
    CHECK(direct[1].toPool == "spare");
}

// Guards against a host that joins a pool after the burst for which it was moved.
TEST_CASE("a move that is no longer needed is cancelled before the host joins")
{
    planner_fixture fleet;
    fleet.append(fleet.plan({makeDemand("a", 3)}));
    const auto cancelled = fleet.plan({makeDemand("a", 2)});
    REQUIRE(cancelled.size() == 1);
    CHECK(cancelled[0].step == move_step::cancel);
    CHECK(fleet.append(cancelled) == 1);
    CHECK(fleet.plan({makeDemand("a", 2)}).empty());
}

// Guards against policies that miss a burst, or that still demand additional hosts after it.
TEST_CASE("every dynamic policy demands more hosts in a burst and none after it")
{
    std::vector<spare_policy> policies{reactive_threshold_policy({}), z_score_policy({}), queue_model_policy({})};
    for (spare_policy &policy : policies) {
        pool_sample sample;
        sample.interval = std::chrono::seconds(1);
        sample.runSeconds = 1;
        sample.homeHosts = sample.hosts = 10;
        sample.slotsPerHost = 8;
        time_point now{};
        const auto maximumDemand = [&](double arrivals, int seconds) {
            std::int64_t maximum = 0;
            for (int second = 0; second < seconds; ++second) {
                sample.arrivals = sample.running = arrivals;
                maximum = std::max(maximum, decideDemand(policy, "a", sample, now += std::chrono::seconds(1)).hosts);
            }
            return maximum;
        };
        CHECK(maximumDemand(2, 20) == 10);
        CHECK(maximumDemand(125, 6) > 14);
        maximumDemand(2, 5);
        CHECK(maximumDemand(2, 100) == 10);
    }
}
