#include "restarting_executor.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against a task that is done twice: a poll without an answer was repeated with the number of an end that it had acknowledged. The executor had started
// again meanwhile and forgot an end of its new boot that the leader had not seen (review case 6).
TEST_CASE("a repeated poll acknowledges no end of a boot that is not known yet")
{
    const std::chrono::seconds age = GENERATE(1s, 60s); // the clock of the next boot is not clearly behind that of a boot that is 1 s old
    const order_result startResult = GENERATE(order_result::done, order_result::unanswered);
    restarting_executor fixture(age);
    manual_cluster &cluster = fixture.cluster;

    // The start order is under way already when the poll is sent that acknowledges the end.
    const time_point polledAt = cluster.now;
    fixture.submit("second");
    REQUIRE(cluster.starts.size() == 2);
    const auto lost = cluster.state.takePoll("a", cluster.now);
    REQUIRE(lost);
    cluster.now += 100ms;
    fixture.restart();
    cluster.now += 5ms;
    fixture.answerStart(startResult);
    cluster.now += 600ms;
    cluster.state.handlePollResponse("a", poll_response{}, polledAt, cluster.now);

    cluster.now += 400ms;
    const auto repeated = cluster.state.takePoll("a", cluster.now);
    REQUIRE(repeated);
    CHECK(repeated->acknowledgedUpTo == 0);
    cluster.state.handlePollResponse("a", fixture.list({}, {doneEnd(1, "second")}), cluster.now, cluster.now + 2ms);
    cluster.now += 2ms;
    fixture.settle();
    CHECK(cluster.state.findJob("second")->state == work_state::completed);
    CHECK(cluster.starts.size() == 2);
}

// Guards against the same loss where the poll is the first one that acknowledges the end: a start order before it has reached the next boot.
TEST_CASE("a poll acknowledges nothing while a start order may have reached a boot that is not known yet")
{
    restarting_executor fixture(1s);
    manual_cluster &cluster = fixture.cluster;
    fixture.submit("second");
    REQUIRE(cluster.starts.size() == 2);

    SECTION("the order has no response yet")
    {
        const auto poll = cluster.state.takePoll("a", cluster.now);
        REQUIRE(poll);
        CHECK(poll->acknowledgedUpTo == 0);
    }
    SECTION("the response does not tell which boot has carried out the order")
    {
        fixture.restart();
        fixture.answerStart(order_result::done);
        cluster.now += 100ms;
        const auto poll = cluster.state.takePoll("a", cluster.now);
        REQUIRE(poll);
        CHECK(poll->acknowledgedUpTo == 0);
    }
    SECTION("the order has no response in time")
    {
        cluster.now += 1s;
        fixture.answerStart(order_result::unanswered);
        const auto poll = cluster.state.takePoll("a", cluster.now);
        REQUIRE(poll);
        CHECK(poll->acknowledgedUpTo == 0);
    }
}

// Guards against a start order that overtakes an acknowledgement: the next boot may end the run before it receives the poll, and forget that end.
TEST_CASE("a start order waits while the response to a poll that acknowledges an end is overdue")
{
    restarting_executor fixture(60s);
    manual_cluster &cluster = fixture.cluster;
    const time_point polledAt = cluster.now;
    const auto poll = cluster.state.takePoll("a", cluster.now);
    REQUIRE(poll);
    REQUIRE(poll->acknowledgedUpTo == 1);
    cluster.now += scheduler_settings{}.overduePollDelay + 1ms;
    fixture.submit("second");
    CHECK(cluster.starts.size() == 1);

    SECTION("it is sent after the response")
    {
        cluster.now += 3ms;
        cluster.state.handlePollResponse("a", fixture.list({}, {}), polledAt, cluster.now);
        fixture.takeStarts();
        REQUIRE(cluster.starts.size() == 2);
        CHECK(cluster.starts.back().task.job == "second");
    }
    SECTION("without a response the task goes elsewhere")
    {
        cluster.addExecutor("b");
        cluster.now += 700ms;
        cluster.state.handlePollResponse("a", poll_response{}, polledAt, cluster.now);
        fixture.settle();
        REQUIRE(cluster.starts.size() == 2);
        CHECK(cluster.starts.back().target.executor == "b");
    }
}

// Guards against a poll without an answer that is carried out seconds later, by the next boot: it must find no end there that the leader has not seen.
TEST_CASE("a new boot gets no work while a poll that acknowledges an end may still be carried out")
{
    restarting_executor fixture(60s);
    manual_cluster &cluster = fixture.cluster;
    const time_point polledAt = cluster.now;
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    cluster.now += 700ms;
    cluster.state.handlePollResponse("a", poll_response{}, polledAt, cluster.now);
    fixture.restart();
    cluster.now += scheduler_settings{}.idlePollRetryDelay;
    fixture.answerPoll({}, {});
    fixture.submit("second");
    CHECK(cluster.starts.size() == 1);

    cluster.now = polledAt + scheduler_settings{}.lateOrderTimeout - 10ms;
    fixture.settle();
    CHECK(cluster.starts.size() == 1);
    cluster.now += 20ms;
    fixture.settle();
    CHECK(cluster.starts.size() == 2);
}

// Guards against ends that are never acknowledged on a busy executor: it would list more and more of them.
TEST_CASE("an end is acknowledged by the next poll although starts go on")
{
    restarting_executor fixture(60s);
    manual_cluster &cluster = fixture.cluster;
    fixture.submit("second");
    fixture.answerStart(order_result::done);
    const auto poll = cluster.state.takePoll("a", cluster.now);
    REQUIRE(poll);
    CHECK(poll->acknowledgedUpTo == 1);
}

// Guards against an acknowledgement that stays out after a start order without a response: a later list of the known boot shows that it is still alive.
TEST_CASE("an end is acknowledged once a later list of the known boot is there")
{
    restarting_executor fixture(60s);
    manual_cluster &cluster = fixture.cluster;
    fixture.submit("second");
    cluster.now += 1s;
    fixture.answerStart(order_result::unanswered);
    cluster.now += 1ms;
    fixture.answerPoll({{{"second", 0, 0, 0}, 1, {}, 10, 0}}, {doneEnd(1, "first")});
    cluster.now += 400ms;
    const auto poll = cluster.state.takePoll("a", cluster.now);
    REQUIRE(poll);
    CHECK(poll->acknowledgedUpTo == 1);
}
