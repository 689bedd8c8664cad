#include "control/journal_loader.h"
#include "control/journal_writer.h"
#include "core/core.h"
#include "memory_store.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;
using fault = memory_store::append_fault;

namespace {

control_settings makeSettings(std::int64_t incarnation)
{
    control_settings settings;
    settings.incarnation = incarnation_id{incarnation};
    settings.peerAddress = "127.0.0.1:1";
    return settings;
}

/** A journal writer on a store in memory, and the results that it reported. */
struct writer_fixture
{
    manual_timer_service timers;
    memory_store store{timers};
    control_settings settings = makeSettings(1);
    bool isDeposed = false;
    std::optional<std::uint64_t> confirmed;
    int refusals = 0;
    journal_writer writer{timers,
                          store,
                          settings,
                          0,
                          [this] { isDeposed = true; },
                          [this] {
                              ++refusals;
                          }};

    void append()
    {
        confirmed.reset();
        writer.append({}, {{"key", "value"}}, [this](std::uint64_t offset) { confirmed = offset; });
        for (int step = 0; step < 200 && !confirmed && !isDeposed; ++step) {
            timers.advance(10ms);
        }
    }

    std::size_t countKey(const std::string &key) const
    {
        const auto &records = store.records(store_topic::journal);
        return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [&](const store_record &record) { return record.key == key; }));
    }
};

} // namespace

// Guards against entries that are lost or appended twice when a response of the store is lost.
TEST_CASE("an append whose request or response is lost is in the journal exactly once", "[journal]")
{
    const auto faults = GENERATE(std::vector<fault>{}, std::vector<fault>{fault::request_lost}, std::vector<fault>{fault::response_lost},
                                 std::vector<fault>{fault::refused, fault::response_lost},
                                 std::vector<fault>{fault::request_lost, fault::request_lost, fault::response_lost});
    writer_fixture fixture;
    fixture.store.appendFaults.assign(faults.begin(), faults.end());
    fixture.append();

    REQUIRE(fixture.confirmed == 0U);
    CHECK(fixture.countKey("key") == 1);
    fixture.append();
    CHECK(fixture.confirmed == 2U);
    CHECK_FALSE(fixture.isDeposed);
}

// Guards against leadership that counts as confirmed as of a retry, although another writer may have appended after the first attempt.
TEST_CASE("an append that is found in the journal confirms leadership as of its first attempt", "[journal]")
{
    writer_fixture fixture;
    fixture.store.appendFaults = {fault::response_lost};
    fixture.store.unansweredReads = 1; // the retry is sent, and conflicts with the record of the first attempt
    const time_point startedAt = fixture.timers.now();
    fixture.append();
    REQUIRE(fixture.confirmed == 0U);
    CHECK(fixture.writer.lastConfirmed() == startedAt);
}

// Guards against a retry that waits for the read of the writer's own position, which would delay recovery after an outage of the store.
TEST_CASE("an append is retried without waiting for the read of the writer's own position", "[journal]")
{
    writer_fixture fixture;
    fixture.store.unansweredReads = 1;
    fixture.store.appendFaults = {fault::request_lost};
    const time_point startedAt = fixture.timers.now();
    fixture.append();
    REQUIRE(fixture.confirmed == 0U);
    CHECK(fixture.timers.now() - startedAt < 300ms);
    fixture.append();
    CHECK(fixture.confirmed == 2U);
    CHECK(fixture.countKey("key") == 2);
    CHECK_FALSE(fixture.isDeposed);
}

// Incident SHORT: a leader whose appends the store refused knew it at once, and its followers waited for its journal to fall silent.
TEST_CASE("a writer reports a refusal when at least two attempts have failed for the refusal timeout", "[journal]")
{
    writer_fixture fixture;
    SECTION("refused")
    {
        fixture.store.isDown = true;
        fixture.writer.append({}, {}, [&](std::uint64_t offset) { fixture.confirmed = offset; });
        fixture.timers.advance(fixture.settings.refusalTimeout - 10ms);
        CHECK_FALSE(fixture.writer.isRefused());
        fixture.timers.advance(20ms);
        CHECK(fixture.writer.isRefused());
        fixture.timers.advance(2s);
        CHECK(fixture.refusals == 1);
        fixture.store.isDown = false;
        fixture.timers.advance(200ms);
        CHECK(fixture.confirmed == 0U);
        CHECK_FALSE(fixture.writer.isRefused());
        fixture.append();
        CHECK(fixture.refusals == 1);
    }
    SECTION("refused again")
    {
        fixture.store.appendFaults.assign(4, fault::refused);
        fixture.append();
        CHECK(fixture.confirmed);
        fixture.store.appendFaults.assign(4, fault::refused);
        fixture.append();
        CHECK(fixture.confirmed);
        CHECK(fixture.refusals == 2);
    }
    SECTION("one lost response")
    {
        fixture.store.appendFaults = {GENERATE(fault::request_lost, fault::response_lost, fault::refused)};
        fixture.append();
        CHECK(fixture.confirmed);
        CHECK(fixture.refusals == 0);
    }
}

// Guards against a deposed leader that keeps appending to the journal of its successor.
TEST_CASE("a writer is deposed and appends nothing when another one has appended at its position", "[journal]")
{
    const auto faults = GENERATE(std::vector<fault>{}, std::vector<fault>{fault::request_lost});
    writer_fixture fixture;
    fixture.store.appendFaults.assign(faults.begin(), faults.end());
    wire::batch_record other;
    other.writer = 2;
    fixture.store.put(store_topic::journal, {{journal_writer::batchKey, encode(other)}});
    fixture.append();

    CHECK(fixture.isDeposed);
    CHECK_FALSE(fixture.confirmed);
    CHECK(fixture.countKey("key") == 0);
}

// Guards against a takeover from a leader that still appends.
TEST_CASE("a journal counts as silent only if nothing is appended while it is watched", "[journal]")
{
    manual_timer_service timers;
    memory_store store(timers);
    wire::batch_record header;
    header.writer = 7;
    store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});

    std::optional<journal_loader::journal_state> state;
    journal_loader loader(timers, store, {}, 1200ms, [&](journal_loader::result result) { state = result.state; });
    loader.start();
    SECTION("appended to")
    {
        timers.advance(600ms);
        store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});
        timers.advance(700ms);
        CHECK(state == journal_loader::journal_state::active);
    }
    SECTION("silent")
    {
        timers.advance(1100ms);
        CHECK_FALSE(state);
        timers.advance(300ms);
        CHECK(state == journal_loader::journal_state::silent);
    }
    SECTION("unreachable")
    {
        store.isDown = true;
        timers.advance(100ms);
        CHECK(state == journal_loader::journal_state::unavailable);
    }
}

// Incident CONFIG: entry hosts that got no reply from a working leader loaded the complete journal repeatedly, which saturated slow links.
TEST_CASE("a journal that is appended to is not loaded while it is watched", "[journal]")
{
    manual_timer_service timers;
    memory_store store(timers);
    wire::batch_record header;
    header.writer = 7;
    for (int job = 0; job < 50; ++job) {
        store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}, {"p" + std::to_string(job), "progress"}});
    }

    std::optional<journal_loader::journal_state> state;
    journal_loader loader(timers, store, {}, 800ms, [&](journal_loader::result result) { state = result.state; });
    loader.start();
    timers.advance(200ms);
    store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});
    timers.advance(50ms);
    CHECK(state == journal_loader::journal_state::active);
    CHECK(store.deliveredPageRecords == 0);
}

// Guards against a resignation that is missed because the entries of the last batch follow it.
TEST_CASE("a resignation with final entries ends the watch at once", "[journal]")
{
    manual_timer_service timers;
    memory_store store(timers);
    wire::batch_record header;
    header.writer = 7;
    std::optional<journal_loader::result> loaded;
    journal_loader loader(timers, store, {}, 1200ms, [&](journal_loader::result result) { loaded = std::move(result); });
    const auto put = [&] {
        header.resigned = true;
        const std::string resignation = encode(header);
        store.put(store_topic::journal,
                  {{journal_writer::batchKey, resignation}, {"hhost", "order"}, {"mhost", "order"}, {journal_writer::batchKey, resignation}});
    };
    SECTION("before the watch")
    {
        put();
        loader.start();
    }
    SECTION("during the watch")
    {
        store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});
        loader.start();
        timers.advance(100ms);
        put();
    }
    timers.advance(50ms);
    REQUIRE(loaded);
    CHECK(loaded->state == journal_loader::journal_state::silent);
    CHECK(loaded->hasResigned);
    CHECK(loaded->end == store.end(store_topic::journal));
}

// Incident LOST: a resignation at the end of a batch larger than one read of the watch was taken for a leader that still appends.
TEST_CASE("a resignation that ends a large batch ends the watch at once", "[journal]")
{
    constexpr std::size_t entryBytes = 1000;
    constexpr int entryCount = 100;
    manual_timer_service timers;
    memory_store store(timers);
    wire::batch_record header;
    header.writer = 7;
    store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});
    std::optional<journal_loader::result> loaded;
    journal_loader loader(timers, store, {}, 1200ms, [&](journal_loader::result result) { loaded = std::move(result); });
    loader.start();
    timers.advance(100ms);

    header.resigned = GENERATE(true, false);
    std::vector<journal_entry> batch{{journal_writer::batchKey, encode(header)}};
    for (int number = 0; number < entryCount; ++number) {
        batch.push_back({"m" + std::to_string(number), std::string(entryBytes, 'x')});
    }
    if (header.resigned) {
        batch.push_back({journal_writer::batchKey, encode(header)});
    }
    store.put(store_topic::journal, batch);
    timers.advance(50ms);
    REQUIRE(loaded);
    CHECK(loaded->state == (header.resigned ? journal_loader::journal_state::silent : journal_loader::journal_state::active));
    CHECK((loaded->hasResigned || !header.resigned));
    CHECK(loaded->end == store.end(store_topic::journal));
}

// Guards against an attempt that ends, and costs its backoff, while the resigning leader still appends the batch before its resignation; and against a
// takeover from a leader that goes on appending.
TEST_CASE("a watch that expects a resignation lasts until it is recorded, but no longer than the silence timeout", "[journal]")
{
    manual_timer_service timers;
    memory_store store(timers);
    wire::batch_record header;
    header.writer = 7;
    const auto put = [&] {
        store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});
    };
    put();
    std::optional<journal_loader::result> loaded;
    journal_loader loader(timers, store, {}, 1200ms, [&](journal_loader::result result) { loaded = std::move(result); });
    loader.start();
    loader.expectResignation();
    timers.advance(100ms);
    put();
    timers.advance(300ms);
    REQUIRE_FALSE(loaded);

    SECTION("recorded")
    {
        header.resigned = true;
        put();
        timers.advance(50ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::silent);
        CHECK(loaded->hasResigned);
    }
    SECTION("not recorded by a leader that goes on appending")
    {
        // The watch has lasted for the silence timeout and a few round trips when the last of these records is appended.
        for (int step = 0; step < 6; ++step) {
            put();
            timers.advance(200ms);
        }
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::active);
    }
    SECTION("not recorded by a leader that is lost")
    {
        timers.advance(800ms);
        CHECK_FALSE(loaded);
        timers.advance(200ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::silent);
        CHECK_FALSE(loaded->hasResigned);
    }
}

// Guards against an avoidable time without a leader.
TEST_CASE("a journal that is empty or whose last writer has resigned is not watched", "[journal]")
{
    manual_timer_service timers;
    memory_store store(timers);
    if (GENERATE(true, false)) {
        wire::batch_record header;
        header.resigned = true;
        store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});
    }
    std::optional<journal_loader::journal_state> state;
    journal_loader loader(timers, store, {}, 1200ms, [&](journal_loader::result result) { state = result.state; });
    loader.start();
    timers.advance(50ms);
    CHECK(state == journal_loader::journal_state::silent);
}

// Guards against a new leader that misses jobs beyond the first page of the journal.
TEST_CASE("a journal of many pages is loaded completely", "[journal]")
{
    manual_timer_service timers;
    memory_store store(timers);
    store.pageSize = 3;
    wire::work_record work;
    work.queue = "queue";
    work.steps.emplace_back();
    work.steps.back().taskCount = 1;
    for (int number = 0; number < 20; ++number) {
        store.put(store_topic::journal, {{scheduler::workKey("job" + std::to_string(number)), encode(work)}});
    }
    std::size_t jobs = 0;
    journal_loader loader(timers, store, {}, 0ms, [&](journal_loader::result result) { jobs = result.restored ? result.restored->jobCount() : 0; });
    loader.start();
    timers.advance(200ms);
    CHECK(jobs == 20);
}
