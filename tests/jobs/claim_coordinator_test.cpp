#include "claim_builder.h"
#include "jobs/claim_coordinator.h"
#include "jobs/dispatch_ledger.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace parsleyglade::testing;
using namespace std::chrono_literals;

namespace {

using verdict = wire::claim_verdict;

/** Drives a coordinator by hand and collects what it asks for. */
struct driver
{
    explicit driver(coordinator_settings settings = {}, bool isStarted = true)
        : coordinator(settings, 1)
    {
        if (isStarted) {
            take(coordinator.start(at));
            read({});
        }
    }

    void take(const coordinator_actions &actions)
    {
        for (const coordinator_action &action : actions) {
            if (const auto *append = std::get_if<append_action>(&action)) {
                appends.push_back(append->payload);
            } else if (const auto *reading = std::get_if<read_action>(&action)) {
                reads.push_back(reading->from);
            } else if (const auto *reply = std::get_if<reply_action>(&action)) {
                replies[static_cast<int>(reply->handle)] = reply->reply;
            } else if (const auto *acknowledged = std::get_if<acknowledge_action>(&action)) {
                acknowledgements[static_cast<int>(acknowledged->handle)] = acknowledged->isRecorded;
            }
        }
    }

    void advance(duration time)
    {
        at.now += time;
        at.wall += std::chrono::duration_cast<std::chrono::milliseconds>(time);
        take(coordinator.tick(at));
    }

    void ask(int handle, const job_key &key, std::int64_t attempt, bool isQuery = false, std::chrono::milliseconds wait = 0ms)
    {
        wire::claim_request request;
        request.claim = decode<wire::claim_batch>(claim_builder().claim(key, attempt).bytes())->claims.front();
        request.queryOnly = isQuery;
        request.waitMilliseconds = static_cast<std::int32_t>(wait.count());
        take(coordinator.request(reply_handle{static_cast<std::uint64_t>(handle)}, request, at));
    }

    void report(int handle, const job_key &key, std::int64_t attempt, wire::job_result::type result, const std::string &body = {})
    {
        wire::result_report report;
        report.result = decode<wire::claim_batch>(claim_builder().result(key, attempt, result).bytes())->results.front();
        if (!body.empty()) {
            report.__isset.answer = true;
            report.answer.body = body;
        }
        take(coordinator.report(reply_handle{static_cast<std::uint64_t>(handle)}, report, at));
    }

    void appended(log_offset offset)
    {
        take(coordinator.appended({append_answer::kind::appended, offset, {}}, at));
    }

    void failed(append_answer::kind kind)
    {
        take(coordinator.appended({kind, 0, {}}, at));
    }

    /** Answers a read with the records from the next offset on. */
    void read(const std::vector<std::string> &records)
    {
        read_answer answer{read_answer::kind::ok, {}, 0, 0};
        answer.head = coordinator.fold().nextOffset();
        for (const std::string &record : records) {
            answer.records.push_back({answer.head++, record});
        }
        take(coordinator.readEnded(answer, at));
    }

    /** Claims a key and has it granted. */
    void grant(int handle, const job_key &key, std::int64_t attempt)
    {
        ask(handle, key, attempt);
        advance(8ms);
        appended(coordinator.fold().nextOffset());
        REQUIRE(replies.at(handle).verdict == verdict::granted);
    }

    claim_coordinator coordinator;
    moment at{time_point{1h}, wall_time{std::chrono::milliseconds{baseMilliseconds}}};
    std::vector<std::string> appends;
    std::vector<log_offset> reads;
    std::map<int, wire::claim_reply> replies;
    std::map<int, bool> acknowledgements;
};

wire::claim_batch lastBatch(const driver &world)
{
    return *decode<wire::claim_batch>(world.appends.back());
}

const job_key first = keyOf(1);
const job_key second = keyOf(2);
const job_key third = keyOf(3);

} // namespace

// Guards against one append a job, and against two appends in flight or closer than the interval.
TEST_CASE("claims that arrive during an append join the next batch")
{
    driver world;
    world.ask(1, first, 11);
    CHECK(world.appends.size() == 1);
    world.advance(5ms);
    world.ask(2, second, 12);
    world.ask(3, third, 13);
    world.advance(20ms);
    CHECK(world.appends.size() == 1);
    world.appended(0);
    CHECK(world.replies.at(1).verdict == verdict::granted);
    REQUIRE(world.appends.size() == 2);
    CHECK(lastBatch(world).claims.size() == 2);
    world.appended(1);
    CHECK(world.replies.at(3).verdict == verdict::granted);

    world.ask(4, keyOf(4), 14);
    CHECK(world.appends.size() == 2);
    CHECK(*world.coordinator.nextWake() == world.at.now + 8ms);
    world.advance(8ms);
    CHECK(world.appends.size() == 3);
}

// Guards against two grants for one key when two coordinators write.
TEST_CASE("an append above a gap is acted on only after the gap is read")
{
    driver world;
    world.ask(1, first, 11);
    world.ask(2, second, 12);
    world.appended(1);
    CHECK(world.replies.empty());
    REQUIRE(world.reads.back() == 0);
    world.read({claim_builder().claim(first, 99).bytes(), world.appends.front()});
    CHECK(world.replies.at(1).verdict == verdict::still_running);
    CHECK(world.replies.at(1).attempt == 99);
    CHECK(world.coordinator.fold().find({second, caller_id{1}}) == nullptr);
}

// Guards against a claim that is lost, or appended as a new batch, when the log's answer is lost.
TEST_CASE("a lost append answer is resolved by reading, and the same batch is appended again")
{
    driver world;
    world.ask(1, first, 11);
    world.failed(append_answer::kind::unknown);
    world.read({});
    world.advance(20ms);
    REQUIRE(world.appends.size() == 2);
    CHECK(world.appends[0] == world.appends[1]);
    world.failed(append_answer::kind::unknown);
    world.read({world.appends[0]});
    CHECK(world.replies.at(1).verdict == verdict::granted);
    world.advance(1s);
    CHECK(world.appends.size() == 2);
}

// Guards against a claim that stays open: the asker is told of another holder, and its own batch lands after that holder's release.
TEST_CASE("a reply while the own claim may still be written makes the dispatcher release it")
{
    driver world;
    world.ask(1, first, 11);
    world.failed(append_answer::kind::unknown);
    world.read({claim_builder().claim(first, 99).bytes()});
    CHECK(world.replies.at(1).verdict == verdict::still_running);
    CHECK(world.replies.at(1).code == static_cast<int>(result_code::log_append_unknown));

    dispatch_ledger ledger({}, 1);
    const auto request = ledger.begin({.identity = {first, caller_id{1}}, .fingerprint = 5});
    CHECK(ledger.claimAnswered(attempt_id{request->claim.attempt}, world.replies.at(1), world.at.now).answer == job_answer::still_running);
    const auto reports = ledger.dueReports(world.at.now, 10);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().result.result == wire::job_result::released);
}

// Guards against callers that wait for ever on a dead log, and against a rush of appends when it returns.
TEST_CASE("an outage refuses with log_unavailable and appends are retried one at a time with a growing delay")
{
    driver world;
    world.ask(1, first, 11);
    std::size_t tries = 0;
    while (world.replies.empty()) {
        if (world.appends.size() > tries) {
            tries = world.appends.size();
            world.failed(append_answer::kind::refused);
        }
        world.advance(1ms);
    }
    CHECK(world.replies.at(1).verdict == verdict::refused);
    CHECK(world.replies.at(1).code == static_cast<int>(result_code::log_unavailable));
    CHECK(tries <= 12);

    world.ask(2, second, 12);
    world.advance(500ms);
    world.appended(0);
    CHECK(world.replies.at(2).verdict == verdict::granted);
    CHECK(lastBatch(world).claims.size() == 1);
}

// Guards against answers from a state that lags behind the log.
TEST_CASE("nothing is answered before the catch-up has ended")
{
    driver world({}, false);
    world.take(world.coordinator.start(world.at));
    world.ask(1, first, 11);
    world.ask(2, second, 12);
    CHECK(world.replies.empty());
    world.read({claim_builder().claim(first, 99).bytes(), claim_builder().result(first, 99, wire::job_result::completed).bytes()});
    CHECK(world.replies.at(1).verdict == verdict::completed);
    CHECK(world.replies.at(1).code == static_cast<int>(result_code::answer_not_kept));
    CHECK(world.appends.size() == 1);
}

// Guards against a second run for a retry that arrives while the job runs, and against an answer that the retry doesn't get.
TEST_CASE("a repeated key joins the open claim")
{
    driver world;
    world.grant(1, first, 11);
    world.ask(2, first, 12, false, 500ms);
    world.ask(3, first, 13, false, 5s);
    world.advance(500ms);
    CHECK(world.replies.at(2).verdict == verdict::still_running);
    CHECK_FALSE(world.replies.contains(3));

    world.report(9, first, 11, wire::job_result::completed, "path");
    world.advance(8ms);
    world.appended(1);
    CHECK(world.acknowledgements.at(9));
    CHECK(world.replies.at(3).verdict == verdict::completed);
    CHECK(world.replies.at(3).answer.body == "path");
    world.report(10, first, 11, wire::job_result::completed, "path");
    CHECK(world.acknowledgements.at(10));
}

// Guards against a joined retry that is lost when the holder gives up.
TEST_CASE("a joined retry claims anew after a release")
{
    driver world;
    world.grant(1, first, 11);
    world.ask(2, first, 12, false, 5s);
    world.report(9, first, 11, wire::job_result::released);
    world.advance(8ms);
    world.appended(1);
    world.advance(8ms);
    world.appended(2);
    CHECK(world.replies.at(2).verdict == verdict::granted);
}

// Guards against claims that stay open after their dispatcher died, and against giving up live ones after a pause of the coordinator itself.
TEST_CASE("claims of a lost dispatcher become unknown")
{
    driver world;
    world.grant(1, first, 11);
    world.ask(2, first, 12, false, 30s);
    const bool isPaused = GENERATE(true, false);
    if (isPaused) {
        world.advance(90s);
        CHECK(world.appends.size() == 1);
    }
    for (int second = 0; second < 61 && world.appends.size() == 1; ++second) {
        world.advance(1s);
        world.read({});
    }
    REQUIRE(world.appends.size() == 2);
    world.appended(1);
    CHECK(world.coordinator.fold().find({first, caller_id{1}})->state == claim_state::unknown);
    CHECK(world.replies.at(2).verdict == verdict::still_running);
    world.ask(3, first, 13);
    CHECK(world.replies.at(3).verdict == verdict::outcome_unknown);
}

// Guards against "not run" from a state that doesn't know another coordinator's claim.
TEST_CASE("refusals and empty queries wait for an append of their own")
{
    coordinator_settings settings;
    settings.maximumClaims = 1;
    driver world(settings);
    world.grant(1, first, 11);
    world.ask(2, second, 12);
    world.ask(3, third, 13, true);
    world.ask(4, keyOf(4, 120'000), 14);
    CHECK(world.replies.size() == 1);
    world.advance(8ms);
    world.appended(2);
    world.read({claim_builder().claim(second, 99).bytes(), world.appends.back()});
    CHECK(world.replies.at(2).verdict == verdict::still_running);
    world.advance(8ms);
    CHECK_FALSE(world.replies.contains(3));
    world.appended(3);
    CHECK(world.replies.at(3).verdict == verdict::not_found);
    CHECK(world.replies.at(4).code == static_cast<int>(result_code::key_in_future));
    world.ask(5, keyOf(5), 15);
    world.advance(8ms);
    world.appended(4);
    CHECK(world.replies.at(5).code == static_cast<int>(result_code::records_full));
}

// Guards against expiring a job that still runs, and against a clock jump that expires every key.
TEST_CASE("the horizon rises behind the oldest running claim and never on a clock alone")
{
    driver world;
    world.grant(1, first, 11);
    world.at.wall += 48h;
    world.grant(2, second, 12);
    CHECK(world.coordinator.fold().horizon() < first.created() - 5h);

    const auto later = std::chrono::duration_cast<std::chrono::milliseconds>(48h).count();
    world.grant(3, keyOf(3, later), 13);
    CHECK(world.coordinator.fold().horizon() == first.created());
    world.report(9, first, 11, wire::job_result::completed);
    world.report(10, second, 12, wire::job_result::completed);
    world.advance(8ms);
    world.appended(3);
    world.advance(8ms);
    world.appended(4);
    world.grant(4, keyOf(4, later), 14);
    CHECK(world.coordinator.fold().isExpired(first));
    world.ask(5, first, 15);
    CHECK(world.replies.at(5).verdict == verdict::key_expired);
}

// Guards against a stream whose claims leave the log with its retention.
TEST_CASE("a snapshot is written in time and a fresh coordinator starts from it")
{
    driver world;
    world.grant(1, first, 11);
    for (int minute = 0; minute < 31 && !lastBatch(world).__isset.snapshot; ++minute) {
        world.advance(1min);
    }
    REQUIRE(lastBatch(world).__isset.snapshot);
    const std::string snapshot = world.appends.back();

    driver fresh({}, false);
    fresh.take(fresh.coordinator.start(fresh.at));
    fresh.take(fresh.coordinator.readEnded({read_answer::kind::trimmed, {}, 1, 2}, fresh.at));
    CHECK(fresh.reads.back() == 1);
    const read_answer answer{read_answer::kind::ok, {{1, snapshot}}, 1, 2};
    fresh.take(fresh.coordinator.readEnded(answer, fresh.at));
    fresh.take(fresh.coordinator.readEnded(answer, fresh.at));
    fresh.ask(1, first, 12);
    CHECK(fresh.replies.at(1).verdict == verdict::still_running);
}
