#include "planned_fleet.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

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
