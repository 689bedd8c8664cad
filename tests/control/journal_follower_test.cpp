#include "control/journal_follower.h"
#include "control/journal_loader.h"
#include "control/journal_writer.h"
#include "control_fakes.h"
#include "core/manual_timer_service.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** A journal with some jobs, whose writer has not resigned. */
struct journal_fixture
{
    journal_fixture()
    {
        for (int number = 0; number < jobCount; ++number) {
            putJob("job" + std::to_string(number));
        }
    }

    void putBatch(std::vector<journal_entry> entries, bool resigned = false)
    {
        wire::batch_record header;
        header.writer = 7;
        header.resigned = resigned;
        entries.insert(entries.begin(), {journal_writer::batchKey, encode(header)});
        store.put(store_topic::journal, entries);
    }

    void putJob(const std::string &job)
    {
        putBatch({{scheduler::workKey(job), encode(makeSubmission(job).work)}, {scheduler::progressKey(job), encode(wire::progress_record())}});
    }

    void removeJob(const std::string &job)
    {
        putBatch({{scheduler::workKey(job), {}}, {scheduler::progressKey(job), {}}});
    }

    static constexpr int jobCount = 20;
    manual_timer_service timers;
    memory_store store{timers};
    control_metrics metrics;
};

} // namespace

// Guards against a takeover with an outdated copy, and against a copy that grows with every job that the deployment has ever had.
TEST_CASE("the copy of a journal follows added and removed jobs without loading the journal again", "[journal]")
{
    journal_fixture fixture;
    fixture.store.pageSize = 7;
    journal_follower follower(fixture.timers, fixture.store, {}, fixture.metrics);
    follower.start();
    CHECK_FALSE(follower.isLoaded());
    fixture.timers.advance(300ms);
    REQUIRE(follower.isLoaded());
    const std::size_t delivered = fixture.store.deliveredPageRecords;

    fixture.putJob("added");
    fixture.removeJob("job0");
    fixture.removeJob("job1");
    fixture.timers.advance(300ms);
    CHECK(fixture.store.deliveredPageRecords == delivered);
    const journal_copy copy = follower.takeCopy();
    CHECK(copy.end == fixture.store.end(store_topic::journal));
    CHECK(copy.state->jobCount() == journal_fixture::jobCount - 1);
    CHECK(copy.state->findJob("added") != nullptr);
    CHECK(copy.state->findJob("job0") == nullptr);
}

// Guards against a copy with a gap.
TEST_CASE("a copy is loaded again when records were trimmed before they were read", "[journal]")
{
    journal_fixture fixture;
    journal_follower follower(fixture.timers, fixture.store, {}, fixture.metrics);
    follower.start();
    fixture.timers.advance(100ms);
    REQUIRE(follower.isLoaded());
    fixture.removeJob("job0");
    fixture.putJob("added");
    fixture.store.trimHistory(store_topic::journal);
    fixture.timers.advance(600ms);
    REQUIRE(follower.isLoaded());
    const journal_copy copy = follower.takeCopy();
    CHECK(copy.end == fixture.store.end(store_topic::journal));
    CHECK(copy.state->jobCount() == journal_fixture::jobCount);
    CHECK(copy.state->findJob("job0") == nullptr);
}

// Guards against a copy that is given up because the store is unreachable for a while.
TEST_CASE("a copy is continued after an outage of the store", "[journal]")
{
    journal_fixture fixture;
    journal_follower follower(fixture.timers, fixture.store, {}, fixture.metrics);
    follower.start();
    fixture.timers.advance(100ms);
    fixture.store.isDown = true;
    fixture.timers.advance(2s);
    fixture.store.isDown = false;
    const std::size_t delivered = fixture.store.deliveredPageRecords;
    fixture.putJob("added");
    fixture.timers.advance(300ms);
    REQUIRE(follower.isLoaded());
    CHECK(fixture.store.deliveredPageRecords == delivered);
    CHECK(follower.takeCopy().state->findJob("added") != nullptr);
}

// Guards against a takeover from a copy that lacks the last batches, and against one from a leader that still appends.
TEST_CASE("an election with a copy reads only what follows it, and keeps the conditions of a takeover", "[journal]")
{
    journal_fixture fixture;
    journal_follower follower(fixture.timers, fixture.store, {}, fixture.metrics);
    follower.start();
    fixture.timers.advance(100ms);
    REQUIRE(follower.isLoaded());
    fixture.putJob("added");
    const std::size_t delivered = fixture.store.deliveredPageRecords;
    std::optional<journal_loader::result> loaded;
    journal_loader loader(fixture.timers, fixture.store, {}, 800ms, [&](journal_loader::result result) { loaded = std::move(result); });
    loader.setCopy(follower.takeCopy());

    SECTION("silent")
    {
        loader.start();
        fixture.timers.advance(790ms);
        CHECK_FALSE(loaded);
        fixture.timers.advance(40ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::silent);
        CHECK_FALSE(loaded->hasResigned);
        REQUIRE(loaded->restored);
        CHECK(loaded->restored->findJob("added") != nullptr);
    }
    SECTION("appended to")
    {
        loader.start();
        fixture.timers.advance(400ms);
        fixture.putJob("later");
        fixture.timers.advance(50ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::active);
        CHECK_FALSE(loaded->restored);
        REQUIRE(loaded->copy);
        CHECK(loaded->copy->end == fixture.store.end(store_topic::journal));
        CHECK(loaded->copy->state->findJob("later") != nullptr);
    }
    SECTION("resigned")
    {
        fixture.putBatch({}, true);
        loader.start();
        fixture.timers.advance(10ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::silent);
        CHECK(loaded->hasResigned);
    }
    SECTION("given up by a refused leader")
    {
        loader.setRefusedEnd(fixture.store.end(store_topic::journal));
        loader.start();
        fixture.timers.advance(10ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::silent);
        CHECK_FALSE(loaded->hasResigned);
    }
    SECTION("given up by a refused leader that has then appended after all")
    {
        loader.setRefusedEnd(fixture.store.end(store_topic::journal));
        fixture.putJob("late");
        loader.start();
        fixture.timers.advance(700ms);
        CHECK_FALSE(loaded);
    }
    CHECK(fixture.store.deliveredPageRecords == delivered);
}

// Guards against a takeover from a copy with a gap.
TEST_CASE("an election whose copy is too old for the history loads the journal", "[journal]")
{
    journal_fixture fixture;
    journal_follower follower(fixture.timers, fixture.store, {}, fixture.metrics);
    follower.start();
    fixture.timers.advance(100ms);
    REQUIRE(follower.isLoaded());
    std::optional<journal_loader::result> loaded;
    journal_loader loader(fixture.timers, fixture.store, {}, 800ms, [&](journal_loader::result result) { loaded = std::move(result); });
    loader.setCopy(follower.takeCopy());
    fixture.removeJob("job0");
    fixture.putJob("added");
    fixture.store.trimHistory(store_topic::journal);
    loader.start();
    fixture.timers.advance(900ms);
    REQUIRE(loaded);
    REQUIRE(loaded->state == journal_loader::journal_state::silent);
    CHECK(loaded->restored->jobCount() == journal_fixture::jobCount);
    CHECK(loaded->restored->findJob("added") != nullptr);
    CHECK(loaded->restored->findJob("job0") == nullptr);
    CHECK(loaded->end == fixture.store.end(store_topic::journal));
}

// Guards against entry hosts that load the journal while a named successor takes over.
TEST_CASE("an election with a grace period loads the journal only when nobody takes over within it", "[journal]")
{
    journal_fixture fixture;
    fixture.putBatch({}, true);
    std::optional<journal_loader::result> loaded;
    journal_loader loader(fixture.timers, fixture.store, {}, 800ms, [&](journal_loader::result result) { loaded = std::move(result); });
    loader.setGrace(1s);
    loader.start();
    fixture.timers.advance(900ms);
    REQUIRE_FALSE(loaded);
    CHECK(fixture.store.deliveredPageRecords == 0);
    SECTION("taken over")
    {
        fixture.putBatch({});
        fixture.timers.advance(50ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::active);
        CHECK(fixture.store.deliveredPageRecords == 0);
    }
    SECTION("taken over during the load")
    {
        fixture.store.pageSize = 2;
        fixture.timers.advance(120ms);
        const std::size_t delivered = fixture.store.deliveredPageRecords;
        REQUIRE(delivered > 0);
        fixture.putBatch({});
        fixture.timers.advance(50ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::active);
        CHECK(fixture.store.deliveredPageRecords <= delivered + 2 * fixture.store.pageSize);
    }
    SECTION("not taken over")
    {
        fixture.timers.advance(300ms);
        REQUIRE(loaded);
        CHECK(loaded->state == journal_loader::journal_state::silent);
        CHECK(loaded->hasResigned);
        CHECK(loaded->restored->jobCount() == journal_fixture::jobCount);
    }
}
