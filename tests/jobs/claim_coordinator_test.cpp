#include "claim_builder.h"
#include "jobs/attempt_tracker.h"
#include "jobs/claim_coordinator.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace parsleyglade::testing;
using namespace std::chrono_literals;

namespace {

using verdict = wire::claim_verdict;

/** Passes inputs to a coordinator and collects its actions. */
struct coordinator_driver
{
    explicit coordinator_driver(coordinator_settings settings = {}, bool isStarted = true)
        : coordinator(settings, 1)
    {
        if (isStarted) {
            collect(coordinator.start(at));
            read({});
        }
    }

    void collect(const coordinator_actions &actions)
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
        collect(coordinator.tick(at));
    }

    void requestClaim(int handle, const job_key &key, std::int64_t attempt, bool isQuery = false, std::chrono::milliseconds wait = 0ms)
    {
        wire::claim_request request;
        request.claim = decode<wire::claim_batch>(claim_builder().claim(key, attempt).bytes())->claims.front();
        request.queryOnly = isQuery;
        request.waitMilliseconds = static_cast<std::int32_t>(wait.count());
        collect(coordinator.request(reply_handle{static_cast<std::uint64_t>(handle)}, request, at));
    }

    void report(int handle, const job_key &key, std::int64_t attempt, wire::job_result::type result, const std::string &body = {})
    {
        wire::result_report report;
        report.result = decode<wire::claim_batch>(claim_builder().result(key, attempt, result).bytes())->results.front();
        if (!body.empty()) {
            report.__isset.answer = true;
            report.answer.body = body;
        }
        collect(coordinator.report(reply_handle{static_cast<std::uint64_t>(handle)}, report, at));
    }

    void appended(log_offset offset)
    {
        collect(coordinator.appendCompleted({append_response::kind::appended, offset, {}}, at));
    }

    void failed(append_response::kind kind)
    {
        collect(coordinator.appendCompleted({kind, 0, {}}, at));
    }

    /** Completes a read with the given records, starting at the next offset. */
    void read(const std::vector<std::string> &records)
    {
        read_response response{read_response::kind::ok, {}, 0, 0};
        response.head = coordinator.fold().nextOffset();
        for (const std::string &record : records) {
            response.records.push_back({response.head++, record});
        }
        collect(coordinator.readCompleted(response, at));
    }

    /** Claims a key and completes the append, so that the claim is granted. */
    void grant(int handle, const job_key &key, std::int64_t attempt)
    {
        requestClaim(handle, key, attempt);
        advance(8ms);
        appended(coordinator.fold().nextOffset());
        REQUIRE(replies.at(handle).verdict == verdict::granted);
    }

    claim_coordinator coordinator;
    clock_reading at{time_point{1h}, wall_time{std::chrono::milliseconds{baseMilliseconds}}};
    std::vector<std::string> appends;
    std::vector<log_offset> reads;
    std::map<int, wire::claim_reply> replies;
    std::map<int, bool> acknowledgements;
};

wire::claim_batch lastBatch(const coordinator_driver &driver)
{
    return *decode<wire::claim_batch>(driver.appends.back());
}

const job_key first = keyOf(1);
const job_key second = keyOf(2);
const job_key third = keyOf(3);

} // namespace

// Guards against one append for each job, against two appends in flight, and against appends that follow each other faster than the interval.
TEST_CASE("claims that arrive during an append join the next batch")
{
    coordinator_driver driver;
    driver.requestClaim(1, first, 11);
    CHECK(driver.appends.size() == 1);
    driver.advance(5ms);
    driver.requestClaim(2, second, 12);
    driver.requestClaim(3, third, 13);
    driver.advance(20ms);
    CHECK(driver.appends.size() == 1);
    driver.appended(0);
    CHECK(driver.replies.at(1).verdict == verdict::granted);
    REQUIRE(driver.appends.size() == 2);
    CHECK(lastBatch(driver).claims.size() == 2);
    driver.appended(1);
    CHECK(driver.replies.at(3).verdict == verdict::granted);

    driver.requestClaim(4, keyOf(4), 14);
    CHECK(driver.appends.size() == 2);
    CHECK(*driver.coordinator.nextWake() == driver.at.now + 8ms);
    driver.advance(8ms);
    CHECK(driver.appends.size() == 3);
}

// Guards against two grants for one key when two coordinators append to the same stream.
TEST_CASE("an append after a gap takes effect only after the gap has been read")
{
    coordinator_driver driver;
    driver.requestClaim(1, first, 11);
    driver.requestClaim(2, second, 12);
    driver.appended(1);
    CHECK(driver.replies.empty());
    REQUIRE(driver.reads.back() == 0);
    driver.read({claim_builder().claim(first, 99).bytes(), driver.appends.front()});
    CHECK(driver.replies.at(1).verdict == verdict::still_running);
    CHECK(driver.replies.at(1).attempt == 99);
    CHECK(driver.coordinator.fold().find({second, caller_id{1}}) == nullptr);
}

// Guards against a claim that is lost, or appended as a new batch, when the log's response is lost.
TEST_CASE("a lost append response is resolved by reading, and the same batch is appended again")
{
    coordinator_driver driver;
    driver.requestClaim(1, first, 11);
    driver.failed(append_response::kind::unknown);
    driver.read({});
    driver.advance(20ms);
    REQUIRE(driver.appends.size() == 2);
    CHECK(driver.appends[0] == driver.appends[1]);
    driver.failed(append_response::kind::unknown);
    driver.read({driver.appends[0]});
    CHECK(driver.replies.at(1).verdict == verdict::granted);
    driver.advance(1s);
    CHECK(driver.appends.size() == 2);
}

// Guards against a claim that stays open. This happens if the dispatcher is told about another holder and its own batch is appended after that holder has
// released the claim.
TEST_CASE("a dispatcher releases its claim if the claim may still be written after the reply")
{
    coordinator_driver driver;
    driver.requestClaim(1, first, 11);
    driver.failed(append_response::kind::unknown);
    driver.read({claim_builder().claim(first, 99).bytes()});
    CHECK(driver.replies.at(1).verdict == verdict::still_running);
    CHECK(driver.replies.at(1).code == static_cast<int>(result_code::log_append_unknown));

    attempt_tracker tracker({}, 1);
    const auto request = tracker.begin({.identity = {first, caller_id{1}}, .fingerprint = 5});
    CHECK(tracker.claimReplyReceived(attempt_id{request->claim.attempt}, driver.replies.at(1), driver.at.now).jobState == job_state::still_running);
    const auto reports = tracker.dueReports(driver.at.now, 10);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().result.result == wire::job_result::released);
}

// Guards against callers that wait forever for an unavailable log, and against a burst of appends when it recovers.
TEST_CASE("requests are refused with log_unavailable in an outage, and appends are retried one at a time with backoff")
{
    coordinator_driver driver;
    driver.requestClaim(1, first, 11);
    std::size_t tries = 0;
    while (driver.replies.empty()) {
        if (driver.appends.size() > tries) {
            tries = driver.appends.size();
            driver.failed(append_response::kind::refused);
        }
        driver.advance(1ms);
    }
    CHECK(driver.replies.at(1).verdict == verdict::refused);
    CHECK(driver.replies.at(1).code == static_cast<int>(result_code::log_unavailable));
    CHECK(tries <= 12);

    driver.requestClaim(2, second, 12);
    driver.advance(500ms);
    driver.appended(0);
    CHECK(driver.replies.at(2).verdict == verdict::granted);
    CHECK(lastBatch(driver).claims.size() == 1);
}

// Guards against replies that are based on stale state.
TEST_CASE("no reply is sent before the catch-up has completed")
{
    coordinator_driver driver({}, false);
    driver.collect(driver.coordinator.start(driver.at));
    driver.requestClaim(1, first, 11);
    driver.requestClaim(2, second, 12);
    CHECK(driver.replies.empty());
    driver.read({claim_builder().claim(first, 99).bytes(), claim_builder().result(first, 99, wire::job_result::completed).bytes()});
    CHECK(driver.replies.at(1).verdict == verdict::completed);
    CHECK(driver.replies.at(1).code == static_cast<int>(result_code::answer_not_kept));
    CHECK(driver.appends.size() == 1);
}

// Guards against a second run when a retry arrives while the job is running, and against a retry that never gets the response.
TEST_CASE("a retry with the same key joins the open claim")
{
    coordinator_driver driver;
    driver.grant(1, first, 11);
    driver.requestClaim(2, first, 12, false, 500ms);
    driver.requestClaim(3, first, 13, false, 5s);
    driver.advance(500ms);
    CHECK(driver.replies.at(2).verdict == verdict::still_running);
    CHECK_FALSE(driver.replies.contains(3));

    driver.report(9, first, 11, wire::job_result::completed, "path");
    driver.advance(8ms);
    driver.appended(1);
    CHECK(driver.acknowledgements.at(9));
    CHECK(driver.replies.at(3).verdict == verdict::completed);
    CHECK(driver.replies.at(3).answer.body == "path");
    driver.report(10, first, 11, wire::job_result::completed, "path");
    CHECK(driver.acknowledgements.at(10));
}

// Guards against a waiting retry that is lost when the holder releases its claim.
TEST_CASE("a waiting retry claims the job after a release")
{
    coordinator_driver driver;
    driver.grant(1, first, 11);
    driver.requestClaim(2, first, 12, false, 5s);
    driver.report(9, first, 11, wire::job_result::released);
    driver.advance(8ms);
    driver.appended(1);
    driver.advance(8ms);
    driver.appended(2);
    CHECK(driver.replies.at(2).verdict == verdict::granted);
}

// Guards against claims that stay open after their dispatcher has crashed, and against treating dispatchers as lost after a pause of the coordinator
// itself.
TEST_CASE("claims of a lost dispatcher become unknown")
{
    coordinator_driver driver;
    driver.grant(1, first, 11);
    driver.requestClaim(2, first, 12, false, 30s);
    const bool isPaused = GENERATE(true, false);
    if (isPaused) {
        driver.advance(90s);
        CHECK(driver.appends.size() == 1);
    }
    for (int second = 0; second < 61 && driver.appends.size() == 1; ++second) {
        driver.advance(1s);
        driver.read({});
    }
    REQUIRE(driver.appends.size() == 2);
    driver.appended(1);
    CHECK(driver.coordinator.fold().find({first, caller_id{1}})->state == claim_state::unknown);
    CHECK(driver.replies.at(2).verdict == verdict::still_running);
    driver.requestClaim(3, first, 13);
    CHECK(driver.replies.at(3).verdict == verdict::outcome_unknown);
}

// Guards against reporting "not run" from stale state that lacks another coordinator's claim.
TEST_CASE("refusals and queries without a result wait for a barrier")
{
    coordinator_settings settings;
    settings.maximumClaims = 1;
    coordinator_driver driver(settings);
    driver.grant(1, first, 11);
    driver.requestClaim(2, second, 12);
    driver.requestClaim(3, third, 13, true);
    driver.requestClaim(4, keyOf(4, 120'000), 14);
    CHECK(driver.replies.size() == 1);
    driver.advance(8ms);
    driver.appended(2);
    driver.read({claim_builder().claim(second, 99).bytes(), driver.appends.back()});
    CHECK(driver.replies.at(2).verdict == verdict::still_running);
    driver.advance(8ms);
    CHECK_FALSE(driver.replies.contains(3));
    driver.appended(3);
    CHECK(driver.replies.at(3).verdict == verdict::not_found);
    CHECK(driver.replies.at(4).code == static_cast<int>(result_code::key_in_future));
    driver.requestClaim(5, keyOf(5), 15);
    driver.advance(8ms);
    driver.appended(4);
    CHECK(driver.replies.at(5).code == static_cast<int>(result_code::records_full));
}

// Guards against expiring a job that is still running, and against a clock jump that expires every key.
TEST_CASE("the expiry horizon stays behind the oldest open claim and does not follow the clock alone")
{
    coordinator_driver driver;
    driver.grant(1, first, 11);
    driver.at.wall += 48h;
    driver.grant(2, second, 12);
    CHECK(driver.coordinator.fold().horizon() < first.created() - 5h);

    const auto later = std::chrono::duration_cast<std::chrono::milliseconds>(48h).count();
    driver.grant(3, keyOf(3, later), 13);
    CHECK(driver.coordinator.fold().horizon() == first.created());
    driver.report(9, first, 11, wire::job_result::completed);
    driver.report(10, second, 12, wire::job_result::completed);
    driver.advance(8ms);
    driver.appended(3);
    driver.advance(8ms);
    driver.appended(4);
    driver.grant(4, keyOf(4, later), 14);
    CHECK(driver.coordinator.fold().isExpired(first));
    driver.requestClaim(5, first, 15);
    CHECK(driver.replies.at(5).verdict == verdict::key_expired);
}

// Guards against losing claims when log retention removes their records.
TEST_CASE("a snapshot is written within its interval, and a new coordinator starts from it")
{
    coordinator_driver driver;
    driver.grant(1, first, 11);
    for (int minute = 0; minute < 31 && !lastBatch(driver).__isset.snapshot; ++minute) {
        driver.advance(1min);
    }
    REQUIRE(lastBatch(driver).__isset.snapshot);
    const std::string snapshot = driver.appends.back();

    coordinator_driver fresh({}, false);
    fresh.collect(fresh.coordinator.start(fresh.at));
    fresh.collect(fresh.coordinator.readCompleted({read_response::kind::trimmed, {}, 1, 2}, fresh.at));
    CHECK(fresh.reads.back() == 1);
    const read_response response{read_response::kind::ok, {{1, snapshot}}, 1, 2};
    fresh.collect(fresh.coordinator.readCompleted(response, fresh.at));
    fresh.collect(fresh.coordinator.readCompleted(response, fresh.at));
    fresh.requestClaim(1, first, 12);
    CHECK(fresh.replies.at(1).verdict == verdict::still_running);
}
