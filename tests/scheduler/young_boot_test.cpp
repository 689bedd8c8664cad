#include "restarting_executor.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** Lets the executor "a" answer nothing for the given time. Returns when another start order is sent, or nothing. */
std::optional<time_point> findNextStart(restarting_executor &fixture, duration timeout)
{
    manual_cluster &cluster = fixture.cluster;
    const std::size_t starts = cluster.starts.size();
    const time_point end = cluster.now + timeout;
    while (cluster.now < end) {
        cluster.failPoll("a");
        fixture.settle();
        if (cluster.starts.size() > starts) {
            return cluster.now;
        }
        cluster.now += 20ms;
    }
    return std::nullopt;
}

} // namespace

// Guards against two runs of a task at the same time: an executor that was some seconds old started again and was cut off soon after. The clock of the next
// boot was not far enough behind to be noticed, so that the leader counted the lease on the earlier clock and started the task elsewhere while it ran on.
TEST_CASE("the longest lease is assumed when a boot that was some seconds old is followed by another")
{
    const std::chrono::milliseconds age = GENERATE(500ms, 1500ms, 20s);
    restarting_executor fixture(age);
    manual_cluster &cluster = fixture.cluster;
    cluster.now += 1s;
    fixture.answerPoll({}, {doneEnd(1, "first")});
    fixture.restart();
    cluster.now += 120ms;
    fixture.submit("long");
    REQUIRE(cluster.starts.size() == 2);
    const time_point granted = cluster.now;
    fixture.answerStart(order_result::done);
    cluster.addExecutor("b");

    const duration maximumLease = scheduler_settings{}.maximumLease;
    const auto second = findNextStart(fixture, 20s);
    REQUIRE(second);
    CHECK(*second >= granted + maximumLease);
    CHECK(*second < granted + maximumLease + 1s);
}

// Guards against leases on the clock of the earlier boot: once a response has shown the later boot, a registry entry or a list of the earlier one that arrives
// late must not set its clock back.
TEST_CASE("the clock of a later boot stays known when an entry or a list of the earlier boot arrives late")
{
    restarting_executor fixture(20s);
    manual_cluster &cluster = fixture.cluster;
    const executor_description entry = cluster.state.findExecutor("a")->description;
    const time_point polledAt = cluster.now;
    const poll_response lateList = fixture.list({}, {doneEnd(9, "first")});
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    fixture.restart();
    cluster.now += 50ms;
    fixture.submit("second");
    fixture.answerStart(order_result::done);
    const std::int64_t clock = fixture.clock();
    CHECK(cluster.state.findExecutor("a")->clockMilliseconds == clock);

    cluster.now += 5ms;
    cluster.state.updateExecutor(entry, cluster.now);
    CHECK(cluster.state.findExecutor("a")->clockMilliseconds == clock);
    cluster.state.handlePollResponse("a", lateList, polledAt, cluster.now);
    CHECK(cluster.state.findExecutor("a")->clockMilliseconds == clock);
    CHECK(cluster.state.findExecutor("a")->endApplied == 0);
}

// Guards against an executor that stays out of use: a list that was asked for later shows that the known boot is still alive, so that its clock was misread.
TEST_CASE("a later list of the known boot ends the belief in a later one")
{
    restarting_executor fixture(20s);
    manual_cluster &cluster = fixture.cluster;
    fixture.submit("second");
    const std::int64_t clock = fixture.clock();
    cluster.now += 3ms;
    cluster.state.handleStartResponse(cluster.starts.back(), {order_result::done, clock - 1'000}, fixture.sentAt, cluster.now);
    CHECK_FALSE(cluster.state.findExecutor("a")->isSchedulable(cluster.now));
    cluster.now += 1ms;
    fixture.answerPoll({{{"second", 0, 0, 0}, 1, {}, 10, 0}}, {doneEnd(1, "first")});
    CHECK(cluster.state.findExecutor("a")->isSchedulable(cluster.now));
    CHECK(cluster.state.findExecutor("a")->clockMilliseconds == fixture.clock() - 2);
}
