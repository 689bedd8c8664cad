#include "claim_builder.h"
#include "jobs/attempt_tracker.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace parsleyglade::testing;

namespace {

using verdict = wire::claim_verdict;

constexpr time_point start{};
constexpr std::array states{attempt_state::unclaimed, attempt_state::claiming,       attempt_state::granted,
                            attempt_state::sent,      attempt_state::sent_abandoned, attempt_state::finished};

claim_identity jobOf(int number)
{
    return {keyOf(number), caller_id{1}};
}

wire::claim_reply replyOf(verdict::type value, attempt_id attempt, result_code code = result_code::ok)
{
    wire::claim_reply reply;
    reply.verdict = value;
    reply.attempt = static_cast<std::int64_t>(attempt);
    reply.code = static_cast<std::int32_t>(code);
    return reply;
}

struct tracker_fixture
{
    explicit tracker_fixture(std::size_t maximumAttempts = 100)
        : tracker({.incarnation = incarnation_id{7}, .maximumAttempts = maximumAttempts}, 1)
    {
    }

    attempt_id begin(int number = 1)
    {
        const auto request = tracker.begin({.identity = jobOf(number), .fingerprint = 5});
        return attempt_id{request.value().claim.attempt};
    }

    attempt_id beginIn(attempt_state state)
    {
        const attempt_id attempt = begin();
        if (state != attempt_state::claiming) {
            tracker.claimReplyReceived(attempt, replyOf(verdict::granted, attempt), start);
        }
        if (state == attempt_state::sent || state == attempt_state::sent_abandoned) {
            REQUIRE(tracker.startSend(attempt));
        }
        if (state == attempt_state::sent_abandoned) {
            tracker.abandon(attempt, result_code::deadline_unreachable, start);
        }
        return attempt;
    }

    attempt_decision deliver(attempt_id attempt, job_event event)
    {
        switch (event) {
        case job_event::claim_granted:
            return tracker.claimReplyReceived(attempt, replyOf(verdict::granted, attempt), start);
        case job_event::claim_refused:
            return tracker.claimReplyReceived(attempt, replyOf(verdict::refused, attempt, result_code::records_full), start);
        case job_event::claim_undecided:
            return tracker.claimReplyReceived(attempt, replyOf(verdict::refused, attempt, result_code::log_unavailable), start);
        case job_event::claim_running:
            return tracker.claimReplyReceived(attempt, replyOf(verdict::still_running, attempt_id{9}), start);
        case job_event::claim_completed:
            return tracker.claimReplyReceived(attempt, replyOf(verdict::completed, attempt_id{9}), start);
        case job_event::claim_unknown:
            return tracker.claimReplyReceived(attempt, replyOf(verdict::outcome_unknown, attempt_id{9}, result_code::answer_cut), start);
        case job_event::claim_reused:
            return tracker.claimReplyReceived(attempt, replyOf(verdict::key_reused, attempt_id{9}, result_code::key_reused), start);
        case job_event::claim_expired:
            return tracker.claimReplyReceived(attempt, replyOf(verdict::key_expired, attempt_id{9}, result_code::key_expired), start);
        case job_event::send_started:
            CHECK(tracker.startSend(attempt));
            return {};
        case job_event::send_not_started:
            return tracker.sendEnded(attempt, send_not_started{}, start);
        case job_event::send_lost:
            return tracker.sendEnded(attempt, send_lost{result_code::answer_cut}, start);
        case job_event::response_complete:
            return tracker.sendEnded(attempt, complete_response{}, start);
        case job_event::cancelled: {
            const cancel_decision cancelled = tracker.cancel(jobOf(1), start);
            const auto action = cancelled.running.empty() ? job_action::none : job_action::stop_if_cancellable;
            return {cancelled.isStopped ? job_state::not_run : job_state::still_running, action, result_code::ok};
        }
        case job_event::abandoned:
        case job_event::admission_refused:
            break;
        }
        return tracker.abandon(attempt, result_code::no_endpoint, start);
    }

    attempt_tracker tracker;
};

std::optional<wire::job_result::type> expectedReport(job_report report, bool isRepeated)
{
    switch (report) {
    case job_report::completed:
        return wire::job_result::completed;
    case job_report::unknown:
        return wire::job_result::unknown;
    case job_report::released:
        return wire::job_result::released;
    case job_report::released_if_repeated:
        return isRepeated ? std::optional(wire::job_result::released) : std::nullopt;
    case job_report::none:
        break;
    }
    return std::nullopt;
}

} // namespace

// Guards against reporting "not run" after a send that may have started the job, and against a second send.
TEST_CASE("the decision table satisfies the at-most-once rules")
{
    for (const decision_row &row : decisionTable()) {
        INFO(name(row.state) << " " << name(row.event));
        const bool isSent = row.state == attempt_state::sent || row.state == attempt_state::sent_abandoned;
        const bool isProvenNotStarted = row.event == job_event::send_not_started;
        const job_decision &decision = row.decision;

        CHECK_FALSE((isSent && !isProvenNotStarted && decision.jobState == job_state::not_run));
        CHECK_FALSE((isSent && !isProvenNotStarted && decision.report == job_report::released));
        CHECK_FALSE((decision.next == attempt_state::granted && isSent && !isProvenNotStarted));
        CHECK((decision.next != attempt_state::finished || decision.jobState != job_state::none));
        CHECK((decision.report != job_report::completed || row.event == job_event::response_complete));
        CHECK_FALSE((row.state == attempt_state::granted && decision.next == attempt_state::finished && decision.report != job_report::released));
        CHECK(row.state != attempt_state::finished);
        CHECK(std::count_if(decisionTable().begin(), decisionTable().end(),
                            [&](const auto &other) { return other.state == row.state && other.event == row.event; })
              == 1);
    }

    // Guards against late events that change an attempt after it has been decided.
    for (const attempt_state state : states) {
        for (int number = 0; number <= static_cast<int>(job_event::cancelled); ++number) {
            const auto event = static_cast<job_event>(number);
            const auto found
                = std::find_if(decisionTable().begin(), decisionTable().end(), [&](const auto &row) { return row.state == state && row.event == event; });
            if (found == decisionTable().end()) {
                CHECK(decide(state, event) == job_decision{state, job_state::none, job_report::none, job_action::none});
            }
        }
    }
}

// Guards against a tracker whose reported state, next state, action or report differs from the decision table.
TEST_CASE("the attempt tracker follows every row of the decision table")
{
    for (const decision_row &row : decisionTable()) {
        if (row.state == attempt_state::unclaimed) {
            CHECK(row.decision == job_decision{attempt_state::finished, job_state::not_run, job_report::none, job_action::none});
            continue;
        }

        for (const bool isRepeated : {false, true}) {
            INFO(name(row.state) << " " << name(row.event) << " repeated=" << isRepeated);
            tracker_fixture fixture;
            const attempt_id attempt = fixture.beginIn(row.state);
            if (row.state == attempt_state::claiming && isRepeated) {
                REQUIRE(fixture.tracker.repeatRequest(attempt));
            }
            const attempt_decision decision = fixture.deliver(attempt, row.event);
            CHECK(decision.jobState == row.decision.jobState);
            CHECK(decision.action == row.decision.action);

            const auto reports = fixture.tracker.dueReports(start, 10);
            const auto expected = expectedReport(row.decision.report, isRepeated);
            REQUIRE(reports.size() == (expected ? 1 : 0));
            CHECK((!expected || reports.front().result.result == *expected));
            const bool isForgotten = row.decision.next == attempt_state::finished && !expected;
            CHECK(fixture.tracker.stateOf(attempt) == (isForgotten ? std::nullopt : std::optional(row.decision.next)));
        }
    }
}

// Guards against sending a job twice under one grant.
TEST_CASE("a grant permits one send, and another only if the job certainly did not start")
{
    tracker_fixture fixture;
    const attempt_id attempt = fixture.begin();
    CHECK_FALSE(fixture.tracker.startSend(attempt));
    fixture.deliver(attempt, job_event::claim_granted);
    CHECK(fixture.tracker.startSend(attempt));
    CHECK_FALSE(fixture.tracker.startSend(attempt));
    fixture.deliver(attempt, job_event::claim_granted);
    CHECK_FALSE(fixture.tracker.startSend(attempt));
    fixture.deliver(attempt, job_event::send_not_started);
    CHECK(fixture.tracker.startSend(attempt));
    fixture.deliver(attempt, job_event::send_lost);
    CHECK_FALSE(fixture.tracker.startSend(attempt));
}

// Guards against acting on a grant that arrives after the caller was told "not run".
TEST_CASE("a late grant of an abandoned attempt leads to a release report and never to a send")
{
    tracker_fixture fixture;
    const attempt_id attempt = fixture.begin();
    CHECK(fixture.tracker.abandon(attempt, result_code::log_unavailable, start)
          == attempt_decision{job_state::not_run, job_action::none, result_code::log_unavailable, true});
    CHECK(fixture.tracker.dueReports(start, 10).size() == 1);
    CHECK(fixture.tracker.dueReports(start, 10).empty());
    CHECK(fixture.deliver(attempt, job_event::claim_granted).action == job_action::none);
    CHECK_FALSE(fixture.tracker.startSend(attempt));
    CHECK(fixture.tracker.dueReports(start, 10).size() == 1);
}

// Guards against releasing a job that ran, when a duplicate grant arrives after the tracker has removed the attempt.
TEST_CASE("a late grant of a removed attempt is ignored")
{
    tracker_fixture fixture;
    const attempt_id attempt = fixture.beginIn(attempt_state::sent);
    fixture.deliver(attempt, job_event::send_lost);
    const auto reports = fixture.tracker.dueReports(start, 10);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().result.httpStatus == static_cast<int>(result_code::answer_cut));
    fixture.tracker.reportAcknowledged(reports.front().result, true);
    CHECK(fixture.tracker.size() == 0);
    fixture.deliver(attempt, job_event::claim_granted);
    CHECK_FALSE(fixture.tracker.nextReport());
    CHECK_FALSE(fixture.tracker.startSend(attempt));
}

// Guards against reports that are lost or repeated too fast.
TEST_CASE("reports are repeated with backoff until they are recorded")
{
    tracker_fixture fixture;
    const attempt_id attempt = fixture.beginIn(attempt_state::sent);
    wire::kept_answer response;
    response.httpStatus = 201;
    response.body = "path";
    fixture.tracker.sendEnded(attempt, complete_response{response}, start);

    duration previous{};
    time_point now = start;
    for (int count = 0; count < 8; ++count) {
        const auto reports = fixture.tracker.dueReports(now, 10);
        REQUIRE(reports.size() == 1);
        CHECK(reports.front().result.httpStatus == 201);
        CHECK(reports.front().answer.body == "path");
        fixture.tracker.reportAcknowledged(reports.front().result, false);
        const duration wait = *fixture.tracker.nextReport() - now;
        CHECK(wait >= std::min(2 * previous * 3 / 4, duration{std::chrono::seconds{10}}));
        CHECK(wait <= std::chrono::milliseconds{12'500});
        previous = wait;
        now = *fixture.tracker.nextReport();
    }
    fixture.tracker.reportAcknowledged(fixture.tracker.dueReports(now, 1).front().result, true);
    CHECK(fixture.tracker.size() == 0);
}

// Guards against unbounded memory while the log is unavailable.
TEST_CASE("attempts and unacknowledged reports are bounded")
{
    tracker_fixture fixture(3);
    for (int number = 0; number < 3; ++number) {
        fixture.tracker.abandon(fixture.begin(number), result_code::log_unavailable, start);
    }
    const auto refused = fixture.tracker.begin({.identity = jobOf(9), .fingerprint = 5});
    REQUIRE_FALSE(refused.hasValue());
    CHECK(refused.lastReason().code == result_code::queue_full);
}

// Guards against reporting "not run" although another attempt of the job was sent by the same host.
TEST_CASE("a cancellation considers every attempt of the job")
{
    tracker_fixture fixture;
    const attempt_id running = fixture.beginIn(attempt_state::sent);
    const attempt_id waiting = fixture.begin();
    const cancel_decision decision = fixture.tracker.cancel(jobOf(1), start);
    CHECK(decision.isKnown);
    CHECK_FALSE(decision.isStopped);
    CHECK(decision.ended == std::vector{waiting});
    CHECK(decision.running == std::vector{running});
    CHECK_FALSE(fixture.tracker.cancel(jobOf(2), start).isKnown);
}

// Guards against a planned shutdown that leaves claims open or abandons a job that was sent.
TEST_CASE("a dispatcher that shuts down abandons the attempts that it has not sent")
{
    tracker_fixture fixture;
    const attempt_id sent = fixture.beginIn(attempt_state::sent);
    const attempt_id granted = fixture.beginIn(attempt_state::granted);
    CHECK(fixture.tracker.abandonUnsent(start) == std::vector{granted});
    CHECK(fixture.tracker.stateOf(sent) == attempt_state::sent);
    CHECK(fixture.tracker.dueReports(start, 10).size() == 1);
}
