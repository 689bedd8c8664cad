#include "manual_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

wire::step_record shortStep()
{
    wire::step_record step;
    step.taskCount = 1;
    step.demand.cpuMillicores = 1'000;
    step.estimateMilliseconds = 500;
    return step;
}

} // namespace

// Guards against a task that waits while it is tried on an executor that is gone: a start that could not be delivered kept work from the executor for
// 150 ms only, and one without runs was not polled, so that the task came back to it until the registry dropped it (LOST).
TEST_CASE("an executor that could not be reached gets no start until it responds to a poll")
{
    manual_cluster cluster;
    cluster.addExecutor("gone");
    cluster.submit("lasting", {longRunningStep(1)});
    cluster.startResult = order_result::unreachable;
    for (int round = 0; round < 50; ++round) {
        cluster.failPoll("gone");
        cluster.settle(80ms);
    }
    CHECK(cluster.starts.size() == 1);

    cluster.startResult = order_result::done;
    const time_point answersUntil = cluster.now + 2s;
    while (cluster.now < answersUntil) {
        cluster.respondToPoll("gone");
        cluster.settle(80ms);
    }
    CHECK(cluster.starts.size() == 2);
}

// Guards against capacity that stays unused: an executor that was silent for longer than its lease was not polled any more once its runs were given up,
// so that it got no work until the leader changed.
TEST_CASE("an executor that was silent for longer than its lease gets work again")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.submit("first", {shortStep()});
    cluster.settle();
    REQUIRE(cluster.starts.size() == 1);
    const time_point silentUntil = cluster.now + 6s;
    while (cluster.now < silentUntil) {
        cluster.failPoll("a");
        cluster.settle(50ms);
    }
    REQUIRE(cluster.state.findExecutor("a")->runs.empty());

    const time_point answersUntil = cluster.now + 3s;
    while (cluster.now < answersUntil) {
        cluster.respondToPoll("a");
        cluster.settle(50ms);
    }
    CHECK(cluster.starts.size() == 2);
}

// Guards against a fleet that is given up when the sender is at fault: its leadership lease is over, or it has too many connections.
TEST_CASE("an executor is not taken for unreachable when the leader could not send")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.submit("first", {shortStep()});
    cluster.startResult = order_result::not_sent;
    cluster.settle();
    REQUIRE(cluster.starts.size() == 1);
    cluster.startResult = order_result::done;
    cluster.settle(200ms);
    cluster.settle(200ms);
    CHECK(cluster.starts.size() == 2);
}
