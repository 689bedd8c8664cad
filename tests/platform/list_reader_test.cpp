#include "host_list_reader.h"
#include "platform_executors.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;

namespace {

http_result respondWith(const std::string &body)
{
    http_result response;
    response.delivery = http_delivery::responded;
    response.status = 200;
    response.body = body;
    return response;
}

} // namespace

// Guards against fields of a host that are lost or mixed up, and against values of nested objects that are taken for its own.
TEST_CASE("a page of the host list is read", "[wire]")
{
    host_list_reader page;
    REQUIRE(page.read(R"({"NextToken":"t2","Other":{"Machine":"no","Machines":[1]},"Machines":[)"
                      R"({"Machine":"m-1","Pool":"p","State":"moving","Zone":"z","Labels":["kind","r1-3","x"],)"
                      R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpus":2},"Id":"i-1","Extra":{"Pool":"q","Machine":["m-9"]}},)"
                      R"(7,{"Machine":"m-2","State":"odd","Pool":5,"Labels":["kind"],"Capacity":{"Cpu":1.5e3}},["m-3"]]})"));
    CHECK(page.hasList());
    CHECK(page.nextPage() == "t2");
    const std::vector<host_description> hosts = page.takeHosts();
    REQUIRE(hosts.size() == 2);
    CHECK(hosts[0].name == "m-1");
    CHECK(hosts[0].pool == "p");
    CHECK(hosts[0].state == host_state::moving);
    CHECK(hosts[0].dataCentre == "z");
    CHECK(hosts[0].executor == "i-1");
    CHECK(hosts[0].rack == "r1-3");
    CHECK(hosts[0].capacity.cpuMillicores == 16'000);
    CHECK(hosts[0].capacity.memoryMegabytes == 32'768);
    CHECK(hosts[0].capacity.accelerators == 2);
    CHECK(hosts[1].name == "m-2");
    CHECK(hosts[1].pool.empty());
    CHECK(hosts[1].rack.empty());
    CHECK(hosts[1].state == host_state::down);
    CHECK(hosts[1].capacity.cpuMillicores == 1'500);
}

// Guards against a cut or foreign response that passes for an empty list: its hosts would count as removed.
TEST_CASE("a text without a list of hosts is told apart from an empty list", "[wire]")
{
    const auto hasList = [](const std::string &body) {
        host_list_reader page;
        return page.read(body) && page.hasList();
    };
    CHECK(hasList(R"({"Machines":[]})"));
    for (const char *body : {"", "[]", "7", "{}", R"({"Machines":7})", R"({"Machines":{}})", R"({"Machines":[{"Machine":"m-1"})", R"({"Machines":[]}x)"}) {
        CHECK_FALSE(hasList(body));
    }
}

// Guards against rows of a list that was cut off, which would pass for the whole list and end runs that go on.
TEST_CASE("a cut list of runs counts as no response", "[wire]")
{
    const poll_response response = toPollResponse(respondWith(R"({"ClockMs":5,"born":3,"Running":[["a.0.0.1",1,"",50,0],["a.0.0.2",1)"));
    CHECK(response.result == order_result::unanswered);
    CHECK(response.running.empty());
    CHECK(response.boot == 0);
}

// Guards against values of an unknown field that are taken for a row, and against cells of one row that remain in the next.
TEST_CASE("only rows of the two lists are read", "[wire]")
{
    const poll_response response = toPollResponse(respondWith(
        R"({"Later":[["b.0.0.1",1,"",1,1]],"Running":[["a.0.0.1",4,"save",50,9],["a.0.0.2",2]],"Finished":{},"born":3.0,"ClockMs":18446744073709551})"));
    CHECK(response.result == order_result::done);
    CHECK(response.boot == 3);
    CHECK(response.clockMilliseconds == 18'446'744'073'709'551);
    REQUIRE(response.running.size() == 2);
    CHECK(response.running[1].run == 2);
    CHECK(response.running[1].checkpoint.empty());
    CHECK(response.running[1].progress == 0);
    CHECK(response.running[1].measured == 0);
    CHECK(response.finished.empty());
}
