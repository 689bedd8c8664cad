#include "control/successor_choice.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

struct choice_fixture
{
    choice_fixture()
    {
        choice.start({}, now);
    }

    void probe(const std::string &address, const std::string &dataCentre, std::int32_t millicores = 500)
    {
        members[address] = {dataCentre, millicores, now, now};
    }

    std::vector<std::string> update()
    {
        choice.update(members, leader, now);
        return choice.names();
    }

    time_point now{1h};
    std::map<std::string, member> members;
    successor_choice::leader_properties leader{"dc1", 500, 250};
    successor_choice choice;
};

} // namespace

// Guards against successors that are lost together with the leader's data centre.
TEST_CASE("successors are chosen in other data centres than the leader's where possible", "[control][successors]")
{
    choice_fixture fixture;
    fixture.probe("a", "dc1");
    fixture.probe("b", "dc2");
    fixture.probe("c", "dc2");
    fixture.probe("d", "dc3");
    CHECK(fixture.update() == std::vector<std::string>{"b", "d"});
}

// Guards against a load of the journal for each change of the order in which entry hosts are known.
TEST_CASE("a chosen entry host stays chosen while it probes and is suitable", "[control][successors]")
{
    choice_fixture fixture;
    fixture.probe("y", "dc1");
    fixture.probe("z", "dc1");
    REQUIRE(fixture.update() == std::vector<std::string>{"y", "z"});
    fixture.now += 1s;
    fixture.probe("a", "dc2");
    fixture.probe("y", "dc1");
    fixture.probe("z", "dc1");
    CHECK(fixture.update() == std::vector<std::string>{"y", "z"});

    SECTION("until it no longer probes")
    {
        fixture.now += 1500ms;
        fixture.probe("a", "dc2");
        fixture.probe("z", "dc1");
        fixture.now += 1s;
        CHECK(fixture.update() == std::vector<std::string>{"z", "a"});
    }
    SECTION("until it has no contact with the store")
    {
        fixture.probe("y", "dc1", 0);
        CHECK(fixture.update() == std::vector<std::string>{"z", "a"});
    }
}

// Guards against a successor that is too slow for the fleet, and against none in a deployment of small entry hosts.
TEST_CASE("successors have the processor share for a large fleet if any entry host has it, else the leader's", "[control][successors]")
{
    choice_fixture fixture;
    fixture.leader.millicores = 120;
    fixture.probe("a", "dc2", 100);
    fixture.probe("b", "dc2", 120);
    CHECK(fixture.update() == std::vector<std::string>{"b"});
    fixture.probe("c", "dc1", 300);
    CHECK(fixture.update() == std::vector<std::string>{"c"});
}

// Guards against a second load by the other successor of the lost leader, which has a copy already.
TEST_CASE("a new leader keeps the successor of its predecessor, which has to probe it soon", "[control][successors]")
{
    choice_fixture fixture;
    fixture.choice.start({"b"}, fixture.now);
    CHECK(fixture.update() == std::vector<std::string>{"b"});
    fixture.now += 1s;
    fixture.probe("a", "dc2");
    CHECK(fixture.update() == std::vector<std::string>{"b", "a"});
    fixture.now += 1500ms;
    fixture.probe("a", "dc2");
    CHECK(fixture.update() == std::vector<std::string>{"a"});
}
