#include "manual_cluster.h"
#include "restarting_executor.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** Longest time from one stop of an ended run to the next: two intervals, one of them for a round of decisions that comes late. */
constexpr duration longestGap = 100ms;

/** An executor "a" that runs a job to its end, although a first order to start it had no response and may still be carried out. */
struct ended_run_fixture
{
    ended_run_fixture()
    {
        cluster.addExecutor("a");
        cluster.startResult = order_result::unanswered;
        cluster.submit("job", {shortStep()});
        orderedAt = cluster.now;
        cluster.settle();
        cluster.startResult = order_result::done;
        cluster.settle(1'300ms); // repeats the order
        REQUIRE(cluster.starts.size() == 2);
        cluster.settle(400ms);
        cluster.endRuns("a", "job");
        cluster.settle();
        REQUIRE(cluster.state.findJob("job")->state == work_state::completed);
        cluster.settle(100ms);
        cluster.respondToPoll("a"); // acknowledges the end
        cluster.stops.clear();
    }

    /** Decides every 10 ms and returns when stops of the run were sent. */
    std::vector<time_point> stopTimes(duration length)
    {
        std::vector<time_point> times;
        for (const time_point end = cluster.now + length; cluster.now < end;) {
            cluster.settle(10ms);
            for (const stop_order &stop : std::exchange(cluster.stops, {})) {
                CHECK(stop.task == task_id{"job", 0, 0, 0});
                CHECK(stop.run == 1);
                CHECK(stop.target.executor == "a");
                times.push_back(cluster.now);
                cluster.state.handleStopResponse(stop, {order_result::done, cluster.clock()}, cluster.now, cluster.now);
            }
        }
        return times;
    }

    manual_cluster cluster;
    time_point orderedAt{};
};

/** A successor that has the journal of a cluster, and the registry entry of the executor "a". */
struct taken_over_cluster
{
    explicit taken_over_cluster(const manual_cluster &predecessor, std::int64_t boot = 1)
        : cluster({}, {}, predecessor.journal)
    {
        cluster.now = predecessor.now + 300ms;
        cluster.state.lead(2, cluster.now, cluster.wall());
        cluster.state.setConfiguration(predecessor.configuration);
        executor_description description = predecessor.state.findExecutor("a")->description;
        description.boot = boot;
        description.clockMilliseconds = cluster.clock();
        cluster.state.updateExecutor(description, cluster.now);
    }

    void answerPoll(const std::string &id, std::vector<running_entry> running)
    {
        REQUIRE(cluster.state.takePoll(id, cluster.now));
        poll_response response;
        response.result = order_result::done;
        response.boot = 1;
        response.clockMilliseconds = cluster.clock();
        response.running = std::move(running);
        cluster.state.handlePollResponse(id, response, cluster.now, cluster.now);
    }

    manual_cluster cluster;
};

} // namespace

// Guards against a task that runs again after its end (review case 12): its executor is idle, starts again, and carries out a start order without an answer
// before the registry shows the new boot. The stop must be among the first that a new boot hears, whenever it comes up.
TEST_CASE("an idle executor is told again and again to stop an ended run while an order to start it may be carried out")
{
    ended_run_fixture fixture;
    const std::vector<time_point> times = fixture.stopTimes(8s);
    REQUIRE_FALSE(times.empty());
    CHECK(std::adjacent_find(times.begin(), times.end(), [](time_point left, time_point right) { return right - left > longestGap; }) == times.end());
    CHECK(fixture.cluster.now - times.back() <= longestGap);

    fixture.cluster.now = fixture.orderedAt + scheduler_settings{}.lateOrderTimeout + 100ms;
    CHECK(fixture.stopTimes(2s).empty());
    CHECK(fixture.cluster.starts.size() == 2);
}

// Guards against a new boot that is taken for the known one although the response to a stop shows that its clock has started anew: the other runs that may be
// started late would be named to it only in turn.
TEST_CASE("the response to a stop shows a new boot, which then hears of all runs that may be started late")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.startResult = order_result::unanswered;
    wire::step_record step = shortStep();
    step.taskCount = 4;
    cluster.submit("job", {step});
    cluster.settle();
    cluster.startResult = order_result::done;
    cluster.settle(1'300ms);
    for (int round = 0; round < step.taskCount; ++round) {
        cluster.settle(30ms); // repeats the order of one run
    }
    REQUIRE(cluster.starts.size() == 8);
    cluster.settle(400ms);
    cluster.endRuns("a", "job");
    cluster.settle();
    cluster.stops.clear();
    cluster.settle(100ms);
    REQUIRE(cluster.stops.size() == 1);

    cluster.state.handleStopResponse(cluster.stops.front(), {order_result::done, 20}, cluster.now, cluster.now + 1ms);
    const task_id told = cluster.stops.front().task;
    cluster.stops.clear();
    cluster.settle(4ms);
    CHECK(cluster.stops.size() == 3);
    CHECK(std::none_of(cluster.stops.begin(), cluster.stops.end(), [&](const stop_order &stop) { return stop.task == told; }));
}

// Guards against stops that are sent although the order can't be carried out again: it was the only one, and the list of the executor shows its run.
TEST_CASE("no stops are sent for a run whose only start order was carried out")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.startResult = order_result::unanswered;
    cluster.submit("job", {shortStep()});
    cluster.settle();
    cluster.settle(100ms);
    cluster.respondToPoll("a");
    CHECK(cluster.starts.size() == 1);
    cluster.settle(400ms);
    cluster.endRuns("a", "job");
    cluster.settle();
    cluster.stops.clear();
    cluster.settle(100ms);
    cluster.settle(100ms);
    CHECK(cluster.stops.empty());
    CHECK(cluster.starts.size() == 1);
}

// Guards against a run that a successor takes for never started and forgets: the order of its predecessor may still be carried out, by a later boot of the
// executor, while the next run of the task is at work elsewhere.
TEST_CASE("a successor goes on sending stops of a run that it has found never started")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.startResult = order_result::unanswered;
    cluster.submit("job", {shortStep()});
    cluster.settle();
    REQUIRE(cluster.starts.size() == 1);

    taken_over_cluster successor(cluster);
    successor.answerPoll("a", {});
    successor.cluster.settle();
    REQUIRE(successor.cluster.starts.size() == 1);
    CHECK(successor.cluster.starts.front().run == 2);
    successor.cluster.settle(100ms);
    REQUIRE_FALSE(successor.cluster.stops.empty());
    CHECK(std::all_of(successor.cluster.stops.begin(), successor.cluster.stops.end(), [](const stop_order &stop) { return stop.run == 1; }));
}

// Guards against an order that the journal forgets with its run: a predecessor had an order without an answer, and its task has ended before the leader
// changed. The successor must know of it, until the order can no longer be carried out.
TEST_CASE("a successor goes on sending stops of runs that had ended before it took over")
{
    ended_run_fixture fixture;
    taken_over_cluster successor(fixture.cluster);
    CHECK(successor.cluster.state.findJob("job")->state == work_state::completed);
    successor.answerPoll("a", {});
    successor.cluster.settle();
    successor.cluster.settle(100ms);
    REQUIRE_FALSE(successor.cluster.stops.empty());
    CHECK(successor.cluster.stops.front().task == task_id{"job", 0, 0, 0});
    CHECK(successor.cluster.stops.front().run == 1);

    successor.cluster.now += scheduler_settings{}.lateOrderTimeout;
    successor.cluster.settle();
    successor.cluster.stops.clear();
    successor.cluster.settle(100ms);
    CHECK(successor.cluster.stops.empty());
    const auto isLateStart = [](const auto &entry) {
        return late_start_records::isKey(entry.first) && !entry.second.empty();
    };
    CHECK(std::none_of(successor.cluster.journal.begin(), successor.cluster.journal.end(), isLateStart));
}

// Guards against a new boot that came up between two leaders, which is told nothing because it is the first that the successor knows.
TEST_CASE("a boot that came up before the takeover is told of the ended runs at once")
{
    ended_run_fixture fixture;
    taken_over_cluster successor(fixture.cluster, 2);
    successor.cluster.settle(4ms);
    REQUIRE(successor.cluster.stops.size() == 1);
    CHECK(successor.cluster.stops.front().run == 1);
}

// Guards against an executor that gets work beyond its capacity: a late order has started a run there that nobody wants, and the run takes its room until it
// has stopped (seed 2806299510601 of the property test whose executors restart unnoticed several times).
TEST_CASE("an executor gets no new runs while an unwanted run is being stopped there")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.submit("first", {shortStep()});
    cluster.settle();
    REQUIRE(cluster.starts.size() == 1);
    cluster.now += 100ms;
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    poll_response response;
    response.result = order_result::done;
    response.boot = 1;
    response.clockMilliseconds = cluster.clock();
    response.running = {{{"first", 0, 0, 0}, 1, {}, 10, 0}, {{"gone", 0, 0, 0}, 1, {}, 10, 0}};
    cluster.state.handlePollResponse("a", response, cluster.now, cluster.now);
    cluster.submit("second", {shortStep()});
    cluster.settle();
    CHECK(cluster.starts.size() == 1);
    cluster.settle(scheduler_settings{}.maximumStopTime + 10ms);
    CHECK(cluster.starts.size() == 2);
}
