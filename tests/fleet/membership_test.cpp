#include "fleet/fleet.h"
#include "records/fleet_record_builder.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;

namespace {

constexpr time_point start{std::chrono::seconds(100)};

struct fixture
{
    fleet_tables tables{
        {{"p", "s", false, 0.995, 2, 8}, {"q", "t", false, 0.9, 0, 8}},
        {{"h1", "p", "r", "dc", "rack-1"}, {"h2", "p", "r", "dc", "rack-2"}, {"h3", "p", "r", "other", "rack-3"}, {"h4", "p", "r", "dc", "rack-4"}}};
    fleet_fold fold;
    std::map<std::string, endpoint_observation> observations;
    membership evaluator{incarnation_id{1}, "dc"};
    std::int64_t nextRecord = 1;

    explicit fixture(bool isRegistered = true)
    {
        for (const auto &host : tables.hosts) {
            observations[host.name] = {start, {}, false, listed_state::live, 0, 0};
        }
        if (isRegistered) {
            append(newRecord().registered("entry-1", "dc", "r", 0));
        }
    }

    fleet_record_builder newRecord()
    {
        return fleet_record_builder(1).setIdentifierAndTime(nextRecord++, 0);
    }

    void append(const wire::fleet_record &record)
    {
        REQUIRE(fold.apply(fold.nextOffset(), record) == fleet_fold_status::applied);
    }

    host_membership membershipOf(std::size_t index, duration elapsed = {}) const
    {
        return evaluator.evaluate(tables, fold, observations, start + elapsed)[index];
    }

    bool hasReason(std::size_t index, membership_reason reason, duration elapsed = {}) const
    {
        const auto reasons = membershipOf(index, elapsed).reasons;
        return std::find(reasons.begin(), reasons.end(), reason) != reasons.end();
    }
};

} // namespace

// Guards against work on an endpoint that one of the sources (tables, log, host list, probes, endpoint) excludes.
TEST_CASE("each reason alone makes an endpoint unusable")
{
    using std::chrono::seconds;
    fixture fleet;
    REQUIRE(fleet.membershipOf(0).isUsable());
    CHECK(fleet.hasReason(2, membership_reason::other_data_centre));
    CHECK(fleet.membershipOf(0, seconds(2)).isUsable());
    CHECK(fleet.hasReason(0, membership_reason::probe_too_old, seconds(2) + duration(1)));
    CHECK(fixture(false).hasReason(0, membership_reason::not_registered));

    fleet.observations["h1"].reportsLeaving = true;
    CHECK(fleet.hasReason(0, membership_reason::says_leaving));
    fleet.observations["h1"] = {start, {}, false, listed_state::leaving, 0, 0};
    CHECK(fleet.hasReason(0, membership_reason::listed_leaving));
    CHECK_FALSE(fleet.membershipOf(0).nextStep().empty());
    fleet.observations.erase("h1");
    CHECK(fleet.hasReason(0, membership_reason::never_probed));
    fleet.append(fleet.newRecord().drainStarted(drain_scope::rack, "rack-2", "operator"));
    CHECK(fleet.hasReason(1, membership_reason::drained));
    fleet.tables.pools.erase(fleet.tables.pools.begin());
    CHECK(fleet.hasReason(3, membership_reason::unknown_pool));
}

// Guards against work on a moved host before a probe has succeeded in its new pool, and against an acknowledgement of the move while
// requests are in flight.
TEST_CASE("a moved host is usable again only in its new pool and after a new successful probe")
{
    fixture fleet;
    fleet.append(fleet.newRecord().moveStarted("h1", "dc", "p", "q", 0, fleet.fold.state().lastPlannedRecord));
    CHECK(fleet.membershipOf(0).stage == move_stage::leaving);
    CHECK(fleet.membershipOf(0).missingAcknowledgements == std::vector<std::string>{"entry-1"});
    fleet.observations["h1"].inFlight = 1;
    CHECK_FALSE(fleet.evaluator.mayAcknowledge(fleet.tables.hosts[0], fleet.fold, fleet.observations["h1"]));
    fleet.observations["h1"].inFlight = 0;
    CHECK(fleet.evaluator.mayAcknowledge(fleet.tables.hosts[0], fleet.fold, fleet.observations["h1"]));
    fleet.append(fleet.newRecord().moveAcknowledged("h1", 1));
    CHECK(fleet.membershipOf(0).stage == move_stage::drained);
    fleet.observations["h1"].running = 1;
    CHECK_FALSE(membership::mayJoin("h1", fleet.fold, fleet.observations["h1"], start));
    fleet.observations["h1"].running = 0;
    CHECK(membership::mayJoin("h1", fleet.fold, fleet.observations["h1"], start));

    fleet.append(fleet.newRecord().moveJoined("h1", 1));
    fleet.observations["h1"].poolChangedAt = start + duration(1);
    CHECK(fleet.membershipOf(0).stage == move_stage::joining);
    CHECK_FALSE(fleet.membershipOf(0).isUsable());
    fleet.observations["h1"].lastSuccessfulProbe = start + duration(2);
    CHECK(fleet.membershipOf(0).isUsable());
    CHECK(fleet.membershipOf(0).pool == "q");
}

// Guards against planned work that ignores hosts that are unavailable because of failures.
TEST_CASE("the budget counts each host once and keeps minimum and reserve available")
{
    fixture fleet;
    fleet_health health{{"h1", host_health::healthy}, {"h2", host_health::healthy}, {"h3", host_health::healthy}, {"h4", host_health::healthy}};
    CHECK(availability_budget(fleet.tables, fleet.fold.state(), health).services().front().reserve == 1);
    CHECK(availability_budget(fleet.tables, fleet.fold.state(), health).disruptionsAllowed("p") == 1);
    health["h2"] = host_health::suspect;
    health.erase("h3");
    CHECK(availability_budget(fleet.tables, fleet.fold.state(), health).disruptionsAllowed("p") == -1);

    health["h2"] = host_health::healthy;
    availability_budget budget(fleet.tables, fleet.fold.state(), health, 0);
    CHECK(budget.tryChargeHost("h3"));
    CHECK(budget.tryChargeHost("h1"));
    CHECK_FALSE(budget.tryChargeHost("h2"));
    CHECK_FALSE(budget.tryChargeHost("unknown"));
    CHECK(availability_budget::reserveFor(10, 0.995, 0.00155) == 1);
    CHECK(availability_budget::reserveFor(10, 0.9, 0.00155) == 0);
}
