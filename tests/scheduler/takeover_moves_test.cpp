#include "planned_fleet.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

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
