#include "planned_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr duration hostOrderLease = 3s; // of the platform: different leaders must not order the same host within this time
constexpr int spareHosts = 90;

/** A leader has moved most hosts to the pool of one service, which is idle. The pool of the other has few hosts. */
struct moved_fleet
{
    moved_fleet()
    {
        for (int host = 0; host < 10; ++host) {
            fleet.addHost("busy" + std::to_string(host), "busy");
            fleet.addHost("quiet" + std::to_string(host), "quiet");
        }
        for (int host = 0; host < spareHosts; ++host) {
            fleet.addHost("spare" + std::to_string(host), "spare");
        }
        fleet.lead(false);
        fleet.run(4s);
    }

    void moveHosts()
    {
        moves = fleet.moveHostsTo("quiet");
        movedAt = fleet.now;
    }

    /** Lets the leader go on for a time, with a job of each second, and resign. */
    void resignAfter(duration time)
    {
        for (const time_point end = fleet.now + time; fleet.now < end;) {
            fleet.submit("busy", 1, 100, 100);
            fleet.run(std::min<duration>(1s, end - fleet.now));
        }
        fleet.resign();
    }

    /** The service with few hosts bursts. Returns the moves within a time. */
    std::vector<planned_fleet::move> burst(duration time)
    {
        fleet.submit("busy", 400, 4'000, 5'000);
        return fleet.run(time);
    }

    /** When the host of the move was ordered before, or nothing. */
    std::optional<time_point> orderedBefore(const planned_fleet::move &later) const
    {
        const auto earlier = std::find_if(moves.begin(), moves.end(), [&](const planned_fleet::move &move) { return move.host == later.host; });
        return earlier == moves.end() ? std::nullopt : std::optional(earlier->orderedAt);
    }

    planned_fleet fleet;
    std::vector<planned_fleet::move> moves;
    time_point movedAt{};
};

void checkLease(const moved_fleet &fixture, const std::vector<planned_fleet::move> &later)
{
    for (const planned_fleet::move &move : later) {
        if (const auto before = fixture.orderedBefore(move)) {
            CHECK(move.orderedAt >= *before + hostOrderLease);
        }
    }
}

/** Adds 10 hosts to the pool of one service and 50 to that of the other. */
void addHosts(planned_fleet &fleet)
{
    for (int host = 0; host < 60; ++host) {
        fleet.addHost("host" + std::to_string(host), host < 10 ? "busy" : "quiet");
    }
}

} // namespace

// Guards against a burst of moves after a change of leader to pools that need none: before the successor had read the registry it counted no hosts in any pool
// and gave the whole standby pool to all of them in equal parts (trouble-2 of the large deployment: 70 of 100 hosts).
TEST_CASE("a leader that has not read the registry takes the hosts that are up as present", "[pools]")
{
    planned_fleet fleet;
    for (int host = 0; host < 10; ++host) {
        fleet.addHost("busy" + std::to_string(host), "busy");
        fleet.addHost("quiet" + std::to_string(host), "quiet");
        fleet.addHost("spare" + std::to_string(host), "spare");
    }
    fleet.lead(false);
    fleet.run(4s);
    fleet.resign();
    fleet.lead(true, false);
    CHECK(fleet.run(300ms).empty());
    fleet.readRegistry();
    CHECK(fleet.run(300ms).empty());
}

// Guards against a burst that waits for hosts after a change of leader: for 2 s the successor took none from any other service, because it had not seen their
// arrivals (trouble-2 of the large deployment: 1,600 to 2,400 tasks waited beside 743 idle executors of another service).
TEST_CASE("a successor takes hosts at once from a pool whose queue had no arrivals at its predecessor", "[pools]")
{
    planned_fleet fleet;
    addHosts(fleet);
    fleet.lead(false);
    fleet.run(4s);
    fleet.submit("busy", 1, 100, 100);
    fleet.resign();
    fleet.lead(true);
    fleet.submit("busy", 400, 4'000, 5'000);
    CHECK(fleet.run(300ms).size() > 10);
}

// Guards against hosts that are taken from a pool whose queue bursts: a successor that has seen no arrivals yet takes it for idle.
TEST_CASE("a successor counts the arrivals at its predecessor as demand", "[pools]")
{
    const auto offset = GENERATE(-5'000ms, 0ms, 5'000ms);
    planned_fleet fleet;
    addHosts(fleet);
    fleet.lead(false);
    fleet.run(4s);
    fleet.submit("quiet", 40, 16'000, 1'000);
    fleet.cancelAll();
    fleet.resign();
    fleet.wallOffset = offset;
    fleet.lead(true);
    fleet.submit("busy", 400, 4'000, 5'000);
    CHECK(fleet.run(500ms).empty());
    CHECK(fleet.run(2s).size() > 10);
}

// Guards against the same where the journal tells nothing about the present demand.
TEST_CASE("a successor with an old journal takes hosts from another pool only once it has seen arrivals itself", "[pools]")
{
    planned_fleet fleet;
    addHosts(fleet);
    fleet.lead(false);
    fleet.submit("quiet", 40, 16'000, 1'000);
    fleet.cancelAll();
    fleet.run(30s);
    fleet.resign();
    fleet.lead(true);
    fleet.submit("busy", 400, 4'000, 5'000);
    CHECK(fleet.run(1'900ms).empty());
    CHECK(fleet.run(1s).size() > 10);
}

// Guards against a move that ends runs: a successor that has no response of an executor yet relies on the journal alone.
TEST_CASE("a successor moves only hosts whose executors have responded to it", "[pools]")
{
    planned_fleet fleet;
    addHosts(fleet);
    fleet.lead(false);
    fleet.run(4s);
    fleet.submit("busy", 1, 100, 100);
    fleet.resign();
    fleet.lead(true);
    fleet.doExecutorsRespond = false;
    fleet.submit("busy", 400, 4'000, 5'000);
    CHECK(fleet.run(1s).empty());
}

// Guards against a burst that waits for hosts after a change of leader: for 3.2 s the successor moved none of the hosts that had an order in the last 15 s,
// which was most of the fleet, and for 2 s none of any other service (trouble-2 of the large deployment: 1,600 to 2,400 tasks waited for 5 s beside 743 idle
// executors).
TEST_CASE("a successor moves hosts at once whose order of its resigned predecessor is older than the platform's lease", "[pools]")
{
    moved_fleet fixture;
    fixture.moveHosts();
    REQUIRE(fixture.moves.size() >= spareHosts);
    fixture.resignAfter(5s);
    fixture.fleet.lead(true);
    const auto moves = fixture.burst(300ms);
    CHECK(moves.size() > spareHosts / 2);
    checkLease(fixture, moves);
}

// Guards against ages of orders that depend on wall clocks, which may differ between entry hosts and jump by seconds.
TEST_CASE("a successor whose wall clock differs moves the same hosts", "[pools]")
{
    const auto offset = GENERATE(-5'000ms, 5'000ms);
    moved_fleet fixture;
    fixture.moveHosts();
    fixture.resignAfter(5s);
    fixture.fleet.wallOffset = offset;
    fixture.fleet.lead(true);
    const auto moves = fixture.burst(300ms);
    CHECK(moves.size() > spareHosts / 2);
    checkLease(fixture, moves);
}

// Guards against orders of two successive leaders for one host within the platform's lease, and against a wait that counts from the takeover.
TEST_CASE("a successor moves a host once the platform's lease has passed since the order of its resigned predecessor", "[pools]")
{
    moved_fleet fixture;
    fixture.moveHosts();
    fixture.resignAfter(1s);
    fixture.fleet.lead(true);
    const time_point led = fixture.fleet.now;
    const auto moves = fixture.burst(4s);
    checkLease(fixture, moves);
    const auto again = std::count_if(moves.begin(), moves.end(), [&](const auto &move) { return fixture.orderedBefore(move) && move.orderedAt < led + 3s; });
    CHECK(again > spareHosts / 2);
}

// Guards against the same with a leader between the two that has ordered nothing.
TEST_CASE("a leader that resigns passes on the age of the orders of its predecessors", "[pools]")
{
    moved_fleet fixture;
    fixture.moveHosts();
    fixture.resignAfter(500ms);
    fixture.fleet.lead(true);
    fixture.resignAfter(500ms);
    fixture.fleet.lead(true);
    const auto moves = fixture.burst(4s);
    CHECK(moves.size() > spareHosts / 2);
    checkLease(fixture, moves);
}

// Guards against orders within the platform's lease after a leader that has not resigned: it may have sent another order just before the takeover.
TEST_CASE("a successor of a leader that has not resigned moves no host with a recent order until the lease has passed since the takeover", "[pools]")
{
    moved_fleet fixture;
    fixture.moveHosts();
    fixture.fleet.submit("busy", 1, 100, 100);
    fixture.fleet.run(5s);
    fixture.fleet.lead(false);
    const time_point led = fixture.fleet.now;
    const auto moves = fixture.burst(4s);
    CHECK(moves.size() > spareHosts / 2);
    for (const planned_fleet::move &move : moves) {
        CHECK((!fixture.orderedBefore(move) || move.orderedAt >= led + hostOrderLease));
    }
}

// Guards against orders within the platform's lease after an order that is carried out late: it has no result when the leader resigns.
TEST_CASE("a successor treats an order without a result as given at the takeover", "[pools]")
{
    moved_fleet fixture;
    fixture.fleet.isOrderAnswered = GENERATE(false, true);
    fixture.fleet.orderResult = host_order_result::unanswered;
    fixture.moveHosts();
    fixture.fleet.isOrderAnswered = true;
    fixture.fleet.orderResult = host_order_result::done;
    fixture.resignAfter(5s);
    fixture.fleet.lead(true);
    const time_point led = fixture.fleet.now;
    const auto moves = fixture.burst(4s);
    CHECK(moves.size() > spareHosts / 2);
    for (const planned_fleet::move &move : moves) {
        CHECK((!fixture.orderedBefore(move) || move.orderedAt >= led + hostOrderLease));
    }
}

// Guards against a shortage of hosts whose cause the log does not show.
TEST_CASE("a leader reports at most once a second why a pool gets no more hosts", "[pools]")
{
    moved_fleet fixture;
    fixture.moveHosts();
    fixture.resignAfter(1s);
    fixture.fleet.lead(true);
    fixture.burst(1s);
    REQUIRE(fixture.fleet.reports.size() == 1);
    INFO(fixture.fleet.reports.front());
    CHECK(fixture.fleet.reports.front().find("elsewhere-held=" + std::to_string(fixture.moves.size()) + " ") != std::string::npos);
    CHECK(fixture.fleet.reports.front().find("demand-known=1") != std::string::npos);
    CHECK(fixture.fleet.reports.front().find("pool=busy") != std::string::npos);
}
