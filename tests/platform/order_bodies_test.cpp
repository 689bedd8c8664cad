#include "order_bodies.h"

#include "allocation_counter.h"
#include "json_object_writer.h"
#include "scheduler/scheduler.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace parsleyglade;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

start_order makeStart(std::string payload)
{
    start_order order;
    order.target.fence = 7;
    order.task = {"5c0e7a21d94b36f8", 0, 1, 17};
    order.run = 2;
    order.payload = std::move(payload);
    order.leaseEnd = 486'000;
    return order;
}

} // namespace

// Guards against bodies that executors reject as invalid: the expected ones are those of PROTOCOL.md, "Running tasks".
TEST_CASE("the bodies of orders have the fields of the protocol")
{
    start_order start = makeStart("(text)");
    json expected = json::parse(R"json({"Task":"5c0e7a21d94b36f8.0.1.17","Run":2,"Spec":"(text)","DeadlineMs":486000,"FencingToken":7})json");
    CHECK(json::parse(makeStartBody(start)) == expected);
    start.checkpoint = "00000bb87a21d94b";
    expected["Checkpoint"] = "00000bb87a21d94b";
    CHECK(json::parse(makeStartBody(start)) == expected);
    start.ticket = "a ticket";
    expected["Ticket"] = "a ticket";
    CHECK(json::parse(makeStartBody(start)) == expected);

    const stop_order stop{start.target, start.task, 2};
    CHECK(json::parse(makeStopBody(stop)) == json::parse(R"({"Task":"5c0e7a21d94b36f8.0.1.17","Run":2,"FencingToken":7})"));
    const pace_order pace{start.target, start.task, 2, 40};
    CHECK(json::parse(makePaceBody(pace)) == json::parse(R"({"Task":"5c0e7a21d94b36f8.0.1.17","Run":2,"Percent":40,"FencingToken":7})"));
}

// Guards against a poll that extends leases or waits although the order does not say so, and against a wait that is not in whole milliseconds.
TEST_CASE("the body of a poll leaves out what the order does not have")
{
    poll_order poll;
    poll.target.fence = 7;
    poll.acknowledgedUpTo = 57;
    CHECK(json::parse(makePollBody(poll)) == json::parse(R"({"FencingToken":7,"LastSeen":57})"));
    poll.leaseEnd = 486'000;
    poll.wait = 1000ms + 900us;
    CHECK(json::parse(makePollBody(poll)) == json::parse(R"({"DeadlineMs":486000,"FencingToken":7,"LastSeen":57,"WaitMs":1000})"));
}

// Guards against a payload that reaches the executor changed, or that ends the string and adds fields to the body.
TEST_CASE("free text of an order is escaped")
{
    using namespace std::string_literals;
    const std::vector<std::string> texts{"",
                                         R"(a "quoted" text)",
                                         R"(back\slash\)",
                                         R"(","FencingToken":99,"x":")",
                                         "line\nfeed\r\ttab\b\f",
                                         "\x01\x1f\x7f",
                                         "zero \0 byte"s,
                                         "/<>&'",
                                         "Gr\xc3\xbc\xc3\x9f"
                                         "e",
                                         "\xe6\x97\xa5\xe6\x9c\xac \xf0\x9f\x8c\xb3"};
    for (const std::string &text : texts) {
        CAPTURE(text);
        start_order order = makeStart(text);
        order.checkpoint = text;
        order.ticket = text;
        order.task.job = text;
        const json body = json::parse(makeStartBody(order));
        CHECK(body["Spec"].get<std::string>() == text);
        CHECK(body.value("Checkpoint", "") == text);
        CHECK(body.value("Ticket", "") == text);
        CHECK(body["Task"].get<std::string>() == text + ".0.1.17");
        CHECK(body["FencingToken"].get<int>() == 7);
    }
}

// Guards against a process that ends on bytes of a caller, and against a body that executors cannot parse.
TEST_CASE("bytes that are not valid UTF-8 are replaced")
{
    for (const char *bytes : {"\xff", "\xc3", "\xc0\xaf", "\xed\xa0\x80", "\xf5\x80\x80\x80"}) {
        const json body = json::parse(makeStartBody(makeStart("before " + std::string(bytes) + " after")));
        const auto spec = body["Spec"].get<std::string>();
        CHECK(spec.starts_with("before \xef\xbf\xbd"));
        CHECK(spec.ends_with(" after"));
    }
}

// Guards against numbers that are cut off.
TEST_CASE("an object has its numbers in full, and may be empty")
{
    CHECK(json_object_writer(0).finish() == "{}");
    json_object_writer object(0);
    object.add("least", std::numeric_limits<std::int64_t>::min());
    object.add("greatest", std::numeric_limits<std::int64_t>::max());
    CHECK(object.finish() == R"({"least":-9223372036854775808,"greatest":9223372036854775807})");
}

// Guards against bodies that are composed as documents, which takes an allocation for each member and value.
TEST_CASE("the body of an order is allocated once")
{
    start_order order = makeStart(std::string(300, 'x'));
    order.checkpoint = "00000bb87a21d94b";
    order.ticket = "00000bb87a21d94b";

    const std::uint64_t before = allocationCount();
    const std::string name = toText(order.task);
    const std::uint64_t forName = allocationCount() - before;
    const std::string body = makeStartBody(order);
    const std::uint64_t forBody = allocationCount() - before - forName;
    CAPTURE(name, forName, forBody);
    CHECK(forBody <= forName + 1);
}
