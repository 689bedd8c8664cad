#include "control/topic_follower.h"
#include "platform_store.h"
#include "standin_store.h"

#include "../external/loop_support.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

struct store_fixture
{
    event_loop loop;
    standin_store server{loop};
    platform_store store{loop, server.address()};

    store_append_result append(std::optional<std::uint64_t> expectedEnd, const std::string &key = "key", const std::string &value = "value")
    {
        return *runUntilDone<store_append_result>(loop, [&](auto done) {
            store.append(store_topic::journal, {{key, value}, {"other", "x"}}, expectedEnd, std::move(done));
        });
    }

    store_read_result read(std::uint64_t from, duration wait = 0ms)
    {
        return *runUntilDone<store_read_result>(loop, [&](auto done) { store.read(store_topic::journal, from, {wait}, std::move(done)); });
    }

    store_page readNewest(const std::string &after = {})
    {
        return *runUntilDone<store_page>(loop, [&](auto done) { store.readNewest(store_topic::journal, after, std::move(done)); });
    }
};

} // namespace

// Guards against two writers that both append at the same offset.
TEST_CASE("a conditional append succeeds only when the topic ends at the expected offset", "[store]")
{
    store_fixture fixture;
    const auto first = fixture.append(0);
    CHECK(first.status == store_append_status::appended);
    CHECK(first.offset == 0);
    CHECK(first.end == 2);
    const auto second = fixture.append(0);
    CHECK(second.status == store_append_status::conflict);
    CHECK(second.end == 2);
    CHECK(fixture.append(std::nullopt).offset == 2);
}

// A refused append may be retried at once; one without a response may have been carried out and must be reported as unknown.
TEST_CASE("a refused append is distinguished from one without a response", "[store]")
{
    store_fixture fixture;
    fixture.server.faults = {standin_store::fault::busy};
    CHECK(fixture.append(0).status == store_append_status::refused);
    fixture.server.faults = {standin_store::fault::response_lost};
    CHECK(fixture.append(0).status == store_append_status::unknown);
    CHECK(fixture.read(0).records.size() == 2);
    fixture.server.faults = {standin_store::fault::request_lost};
    CHECK(fixture.append(2).status == store_append_status::unknown);
    CHECK(fixture.read(2).records.empty());

    platform_store unreachable(fixture.loop, "127.0.0.1:1");
    const auto refused = runUntilDone<store_append_result>(fixture.loop, [&](auto done) {
        unreachable.append(store_topic::journal, {{"key", "value"}}, std::nullopt, std::move(done));
    });
    CHECK(refused->status == store_append_status::refused);
}

// Guards against corrupted binary values, reads that do not wait, and trimmed history that is mistaken for an unavailable store.
TEST_CASE("reads return records in order, wait for new ones, and report trimmed history", "[store]")
{
    store_fixture fixture;
    const std::string binary("\0\xff\x01\n", 4);
    fixture.append(0, "key", binary);
    const auto read = fixture.read(0);
    REQUIRE(read.status == store_read_status::ok);
    REQUIRE(read.records.size() == 2);
    CHECK(read.records[0].key == "key");
    CHECK(read.records[0].value == binary);
    CHECK(read.records[1].offset == 1);
    CHECK(read.next == 2);

    const time_point startedAt = fixture.loop.now();
    CHECK(fixture.read(2, 60ms).records.empty());
    CHECK(fixture.loop.now() - startedAt >= 50ms);

    fixture.server.trimHistory("keyed.parsleyglade-journal");
    CHECK(fixture.read(0).status == store_read_status::trimmed);
    fixture.server.faults = {standin_store::fault::busy};
    CHECK(fixture.read(2).status == store_read_status::unavailable);
}

// Guards against a read that hangs on a stalled connection and delays a new configuration; in incident inc-163d of hungphat-lastworks it took 20 s.
TEST_CASE("a read on a stalled connection times out soon after its wait", "[store]")
{
    store_fixture fixture;
    fixture.server.faults = {standin_store::fault::request_lost};
    const time_point startedAt = fixture.loop.now();
    CHECK(fixture.read(0, 100ms).status == store_read_status::unavailable);
    CHECK(fixture.loop.now() - startedAt < 1s);

    // Including the retry, a record is read well within the platform's bound of 2 s.
    const topic_follower::settings settings;
    CHECK(settings.wait + 600ms + settings.retryDelay < 1500ms);
}

// Guards against keys that are lost or repeated between pages, also when a key needs percent-encoding, and against removed keys that are returned.
TEST_CASE("the newest record of each key is read in pages", "[store]")
{
    store_fixture fixture;
    fixture.server.pageSize = 2;
    for (const char *key : {"a", "b/c d", "e"}) {
        fixture.append(std::nullopt, key, "old");
        fixture.append(std::nullopt, key, "new");
    }
    fixture.append(std::nullopt, "a", "");

    std::vector<std::string> keys;
    std::string after;
    for (bool hasMore = true; hasMore;) {
        const auto page = fixture.readNewest(after);
        REQUIRE(page.isAvailable);
        CHECK(page.end == 14);
        for (const store_record &record : page.records) {
            keys.push_back(record.key);
            CHECK((record.value == "new" || record.key == "other"));
        }
        after = keys.back();
        hasMore = page.hasMore;
    }
    CHECK(keys == std::vector<std::string>{"b/c d", "e", "other"});
}

// Guards against reading past the end of a truncated response, and against accepting a part of it.
TEST_CASE("truncated and malformed records are rejected as a whole", "[store]")
{
    const std::string framed = frameRecords({{"key", "value"}, {"k", ""}});
    REQUIRE(unframeRecords(framed, 5));
    CHECK(unframeRecords(framed, 5)->back().offset == 6);
    for (std::size_t length = 1; length < framed.size(); ++length) {
        const bool endsAtRecord = length == framed.size() - 6;
        CHECK(unframeRecords(std::string_view(framed).substr(0, length), 0).has_value() == endsAtRecord);
    }
    CHECK_FALSE(unframeRecords(std::string("\0\0\0\x02\x05x", 6), 0));
}
