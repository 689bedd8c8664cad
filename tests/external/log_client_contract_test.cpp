#include "core/manual_timer_service.h"
#include "external/external.h"
#include "external/standin/standin_log.h"
#include "loop_support.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** The fake client on manual time. */
struct fake_fixture
{
    manual_timer_service timers;
    fake_log fakeLog{timers, {}};
    fake_log_client client{fakeLog, timers};

    fake_log &log()
    {
        return fakeLog;
    }

    void run(duration time)
    {
        timers.advance(time);
    }

    time_point now() const
    {
        return timers.now();
    }
};

/** The HTTP client and the stand-in server on a loopback port. */
struct http_fixture
{
    event_loop loop;
    standin_log server{loop, "127.0.0.1:0", {}};
    http_log_client client{loop, settings(server.address())};

    static http_log_client_settings settings(const std::string &address)
    {
        http_log_client_settings result;
        result.addresses = {address};
        return result;
    }

    fake_log &log()
    {
        return server.log();
    }

    void run(duration time)
    {
        runFor(loop, time);
    }

    time_point now() const
    {
        return loop.now();
    }
};

/** Runs the fixture until the result is available, for at most five seconds of the fixture's time. */
template <typename Fixture, typename Result> Result await(Fixture &fixture, const std::optional<Result> &result)
{
    for (int turn = 0; turn < 5000 && !result; ++turn) {
        fixture.run(1ms);
    }
    REQUIRE(result);
    return *result;
}

template <typename Fixture> append_result append(Fixture &fixture, const std::string &stream, const std::string &payload)
{
    std::optional<append_result> result;
    fixture.client.append(stream, payload, [&](const append_result &response) {
        CHECK_FALSE(result);
        result = response;
    });
    CHECK_FALSE(result);
    return await(fixture, result);
}

template <typename Fixture> read_result read(Fixture &fixture, const std::string &stream, log_offset from, std::size_t maximum, duration wait = 0ms)
{
    std::optional<read_result> result;
    fixture.client.read(stream, from, maximum, wait, [&](const read_result &response) {
        CHECK_FALSE(result);
        result = response;
    });
    CHECK_FALSE(result);
    return await(fixture, result);
}

template <typename Fixture> void setFaults(Fixture &fixture, const std::function<void(fake_log_faults &)> &change)
{
    fake_log_faults faults;
    change(faults);
    fixture.log().setFaults(faults);
}

} // namespace

// Guards against offsets that have gaps or do not start at 0, and against payloads that are altered in transit.
TEMPLATE_TEST_CASE("log client: records are read as they were appended", "", fake_fixture, http_fixture)
{
    TestType fixture;
    const std::vector<std::string> payloads{"", "a", std::string("\0\xff\r\n\"", 5), std::string(70'000, 'x'), "ab", "abc"};
    for (std::size_t index = 0; index < payloads.size(); ++index) {
        const append_result result = append(fixture, "claims 0/ä", payloads[index]);
        CHECK(result.status == append_status::appended);
        CHECK(result.offset == index);
    }
    CHECK(append(fixture, "other", "x").offset == 0);

    const read_result all = read(fixture, "claims 0/ä", 0, 100);
    REQUIRE(all.status == read_status::ok);
    CHECK(all.earliest == 0);
    CHECK(all.head == payloads.size());
    REQUIRE(all.records.size() == payloads.size());
    for (std::size_t index = 0; index < payloads.size(); ++index) {
        CHECK(all.records[index].offset == index);
        CHECK(all.records[index].payload == payloads[index]);
    }

    const read_result part = read(fixture, "claims 0/ä", 1, 2);
    REQUIRE(part.records.size() == 2);
    CHECK(part.records.front().offset == 1);
    CHECK(part.head == payloads.size());
}

// Guards against a client that reports an empty, unknown or shorter stream as a failure.
TEMPLATE_TEST_CASE("log client: a read at or beyond the head has no records", "", fake_fixture, http_fixture)
{
    TestType fixture;
    const read_result empty = read(fixture, "s", 0, 10);
    CHECK(empty.status == read_status::ok);
    CHECK(empty.head == 0);
    CHECK(empty.records.empty());

    append(fixture, "s", "x");
    const read_result beyond = read(fixture, "s", 5, 10);
    CHECK(beyond.status == read_status::ok);
    CHECK(beyond.head == 1);
    CHECK(beyond.records.empty());
}

// Guards against a waiting read that misses the record, waits too long, or blocks the append it waits for.
TEMPLATE_TEST_CASE("log client: a read waits for the first record and no longer", "", fake_fixture, http_fixture)
{
    TestType fixture;
    std::optional<read_result> waiting;
    const time_point start = fixture.now();
    fixture.client.read("s", 0, 10, 2s, [&](const read_result &result) { waiting = result; });
    fixture.run(30ms);
    CHECK_FALSE(waiting);
    CHECK(append(fixture, "s", "x").status == append_status::appended);
    const read_result result = await(fixture, waiting);
    CHECK(fixture.now() - start < 1s);
    REQUIRE(result.records.size() == 1);
    CHECK(result.records.front().payload == "x");

    const time_point again = fixture.now();
    CHECK(read(fixture, "s", 1, 10, 100ms).records.empty());
    CHECK(fixture.now() - again >= 90ms);
}

// Guards against a client that reports removed records as an empty stream.
TEMPLATE_TEST_CASE("log client: a removed offset is reported as trimmed", "", fake_fixture, http_fixture)
{
    TestType fixture;
    for (int index = 0; index < 4; ++index) {
        append(fixture, "s", std::to_string(index));
    }
    fixture.log().trim("s", 3);
    const read_result trimmed = read(fixture, "s", 2, 10);
    CHECK(trimmed.status == read_status::trimmed);
    CHECK(trimmed.earliest == 3);
    CHECK(trimmed.head == 4);
    CHECK(trimmed.records.empty());
    CHECK(read(fixture, "s", 3, 10).records.size() == 1);
}

// Guards against a status that claims more or less than is known about the call.
TEMPLATE_TEST_CASE("log client: each fault is reported with its status", "", fake_fixture, http_fixture)
{
    TestType fixture;
    append(fixture, "s", "first");

    SECTION("outage")
    {
        setFaults(fixture, [](auto &faults) { faults.outage = true; });
        CHECK(append(fixture, "s", "x").status == append_status::refused);
        CHECK(read(fixture, "s", 0, 10).status == read_status::unavailable);
        fixture.run(100ms);
        CHECK(fixture.log().head("s") == 1);
    }

    SECTION("rate limit")
    {
        setFaults(fixture, [](auto &faults) { faults.appendsPerSecond = 0.1; });
        append(fixture, "s", "takes what is left in the bucket");
        const append_result result = append(fixture, "s", "x");
        CHECK(result.status == append_status::refused);
        CHECK(result.retryAfter > 1s);
        CHECK(result.retryAfter <= 10s);
        CHECK(fixture.log().head("s") == 2);
    }

    SECTION("lost response")
    {
        setFaults(fixture, [](auto &faults) { faults.loseResponses = 1; });
        CHECK(append(fixture, "s", "x").status == append_status::unknown);
        CHECK(fixture.log().head("s") == 2);
    }

    SECTION("late append")
    {
        setFaults(fixture, [](auto &faults) { faults.lateAppends = 1; });
        CHECK(append(fixture, "s", "x").status == append_status::unknown);
        CHECK(fixture.log().head("s") == 1);
        fixture.run(2500ms);
        CHECK(fixture.log().head("s") == 2);
    }

    SECTION("duplicate")
    {
        setFaults(fixture, [](auto &faults) { faults.duplicates = 1; });
        const append_result result = append(fixture, "s", "x");
        CHECK(result.status == append_status::appended);
        CHECK(result.offset == 1);
        fixture.run(2500ms);
        CHECK(fixture.log().head("s") == 3);
    }

    SECTION("stale read")
    {
        append(fixture, "s", "second");
        setFaults(fixture, [](auto &faults) { faults.staleReads = 1; });
        const read_result result = read(fixture, "s", 1, 10, 2s);
        CHECK(result.status == read_status::ok);
        CHECK(result.head < 2);
        CHECK(result.records.empty());
    }

    SECTION("slow log")
    {
        setFaults(fixture, [](auto &faults) { faults.latency = 4s; });
        CHECK(append(fixture, "s", "x").status == append_status::unknown);
        CHECK(read(fixture, "s", 0, 10).status == read_status::unavailable);
        CHECK(fixture.log().head("s") == 2);
    }
}
