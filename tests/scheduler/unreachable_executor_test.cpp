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
