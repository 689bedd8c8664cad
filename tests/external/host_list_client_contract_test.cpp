#include "core/manual_timer_service.h"
#include "external/external.h"
#include "external/standin/standin_host_list.h"
#include "loop_support.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** The fake client on manual time. */
struct fake_fixture
{
    manual_timer_service timers;
    fake_host_list fakeList{timers};
    fake_host_list_client client{fakeList, timers};

    fake_host_list &list()
    {
        return fakeList;
    }

    void run(duration time)
    {
        timers.advance(time);
    }
};

/** The HTTP client and the stand-in server on a loopback port. */
struct http_fixture
{
    event_loop loop;
    standin_host_list server{loop, "127.0.0.1:0"};
    http_host_list_client client{loop, {{server.address()}}};

    fake_host_list &list()
    {
        return server.list();
    }

    void run(duration time)
    {
        runFor(loop, time);
    }
};

template <typename Fixture> outcome<host_list> fetch(Fixture &fixture)
{
    std::optional<outcome<host_list>> result;
    fixture.client.fetch([&](const outcome<host_list> &response) {
        CHECK_FALSE(result);
        result = response;
    });
    CHECK_FALSE(result);
    for (int turn = 0; turn < 5000 && !result; ++turn) {
        fixture.run(1ms);
    }
    REQUIRE(result);
    return *result;
}

host_list twoHosts()
{
    return {{{"entry-1", "hai-phong", "an-duong", "r1", "127.0.0.1:9001", host_role::entry, host_state::live},
             {"lathe-01", "hai-phong", "kien-an", "r2", "127.0.0.1:9101", host_role::endpoint, host_state::leaving}}};
}

} // namespace

// Guards against fields that are lost or swapped between the server and the client.
TEMPLATE_TEST_CASE("host list client: the list is read as it was set", "", fake_fixture, http_fixture)
{
    TestType fixture;
    CHECK(fetch(fixture)->hosts.empty());

    fixture.list().setHosts(twoHosts());
    const auto list = fetch(fixture);
    REQUIRE(list);
    CHECK(hostListToJson(*list) == hostListToJson(twoHosts()));
    REQUIRE(list->hosts.size() == 2);
    CHECK(list->hosts[0].dataCentre == "an-duong");
    CHECK(list->hosts[0].role == host_role::entry);
    CHECK(list->hosts[1].address == "127.0.0.1:9101");
    CHECK(list->hosts[1].state == host_state::leaving);
}

// Guards against a fake without the lag of the platform's list, and against an older list that replaces a newer one.
TEMPLATE_TEST_CASE("host list client: a change becomes visible after the lag", "", fake_fixture, http_fixture)
{
    TestType fixture;
    fixture.list().setLag(200ms);
    fixture.list().setHosts(twoHosts());
    CHECK(fetch(fixture)->hosts.empty());
    fixture.list().setLag(50ms);
    fixture.list().setHosts({{twoHosts().hosts.front()}});
    fixture.run(120ms);
    CHECK(fetch(fixture)->hosts.size() == 1);
    fixture.run(200ms);
    CHECK(fetch(fixture)->hosts.size() == 1);
}

// Guards against an outage that is reported as an empty list.
TEMPLATE_TEST_CASE("host list client: an outage is a failure", "", fake_fixture, http_fixture)
{
    TestType fixture;
    fixture.list().setHosts(twoHosts());
    fixture.list().setDown(true);
    const auto list = fetch(fixture);
    REQUIRE_FALSE(list);
    CHECK(list.lastReason().code == result_code::host_list_unavailable);
    fixture.list().setDown(false);
    CHECK(fetch(fixture)->hosts.size() == 2);
}

// Guards against a malformed list that is accepted in part, and against a fetch that fails although another address responds.
TEST_CASE("host list client: a malformed response is a failure and the next address is tried")
{
    const std::string body = GENERATE(as<std::string>{}, "", "[]", R"({"hosts":{}})", R"({"hosts":[{"host":"x"}]})",
                                      R"({"hosts":[{"host":"h","region":"r","dataCentre":"d","rack":"k","address":"a","role":"king","state":"live"}]})",
                                      R"({"hosts":[{"host":"h","region":"r","dataCentre":"d","rack":"k","address":"a","role":"entry","state":1}]})");
    event_loop loop;
    scripted_server broken(loop, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, false);
    http_host_list_client alone(loop, {{broken.address()}});
    const auto fetchFrom = [&](http_host_list_client &client) {
        return runUntilDone<outcome<host_list>>(loop, [&](const auto &done) { client.fetch(done); }).value();
    };
    CHECK(fetchFrom(alone).lastReason().code == result_code::host_list_unavailable);

    standin_host_list good(loop, "127.0.0.1:0");
    good.list().setHosts(twoHosts());
    http_host_list_client both(loop, {{broken.address(), good.address()}});
    CHECK(fetchFrom(both)->hosts.size() == 2);
}
