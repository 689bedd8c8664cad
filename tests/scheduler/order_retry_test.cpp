#include "manual_cluster.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

wire::step_record shortStep(int count)
{
    wire::step_record step;
    step.taskCount = count;
    step.demand.cpuMillicores = 1'000;
    step.estimateMilliseconds = 500;
    return step;
}

/** Takes the start orders among the actions without responding to them. */
std::vector<start_order> takeStarts(scheduler &state)
{
    std::vector<start_order> starts;
    for (scheduler_action &action : state.takeActions()) {
        if (auto *start = std::get_if<start_order>(&action)) {
            starts.push_back(std::move(*start));
        }
    }
    return starts;
}

/** Passes a poll response with the given runs and ends to the scheduler. */
void respond(manual_cluster &cluster, const std::string &executor, std::vector<running_entry> running, std::vector<finished_entry> finished)
{
    REQUIRE(cluster.state.takePoll(executor, cluster.now));
    poll_response response;
    response.result = order_result::done;
    response.boot = 1;
    response.clockMilliseconds = cluster.clock();
    response.running = std::move(running);
    response.finished = std::move(finished);
    cluster.state.handlePollResponse(executor, response, cluster.now, cluster.now);
}

} // namespace

// Guards against a use of an erased element: the start of a run whose task had ended was repeated, and the run was released through a reference
// into the executor's list of runs. The run of another job was taken for it, which ended the process or left a run without an executor.
TEST_CASE("a start that is repeated after its task has ended leaves the other runs of the executor alone")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    wire::step_record gang = shortStep(2);
    gang.gang = true;
    wire::step_record next = shortStep(1);
    next.after = {0};
    next.requiredLabel = "none"; // keeps the job unfinished
    cluster.submit("gang", {gang, next});
    cluster.submit("other", {shortStep(1)});

    cluster.state.decide(cluster.now, cluster.wall());
    cluster.state.confirmBatch(cluster.state.takeBatch()->number, cluster.now);
    const std::vector<start_order> starts = takeStarts(cluster.state);
    REQUIRE(starts.size() == 3);
    for (const start_order &start : starts) {
        const bool isAnswered = start.task.job == "other" || start.task.index == 0;
        cluster.state.handleStartResponse(start, {isAnswered ? order_result::done : order_result::unanswered, isAnswered ? cluster.clock() : 0}, cluster.now,
                                          cluster.now);
    }

    cluster.now += 400ms;
    const running_entry otherRun{{"other", 0, 0, 0}, 1, {}, 50, 0};
    respond(cluster, "a", {otherRun}, {{1, {"gang", 0, 0, 0}, 1, run_end::done, {}}});
    cluster.settle(); // repeats the start of the second member, whose task is done
    cluster.settle(30ms);
    REQUIRE(cluster.stops.size() == 1);
    CHECK(cluster.stops.front().task == task_id{"gang", 0, 0, 1});
    cluster.state.handleStopResponse(cluster.stops.front(), {order_result::done, cluster.clock()}, cluster.now, cluster.now);
    cluster.now += 10ms;
    respond(cluster, "a", {otherRun}, {});

    const executor_state &executor = *cluster.state.findExecutor("a");
    REQUIRE(executor.runs.size() == 1);
    CHECK(executor.runs.front().task.job == "other");
    CHECK(executor.used.cpuMillicores == 1'000);
    CHECK(cluster.state.findJob("gang")->occurrences[0].steps[0].tasks[1].runs.empty());
}

// Guards against a task that runs on after the cancellation of its job: a repeated start that was not sent revived a run that was being stopped,
// and the run was forgotten although the first order could still be carried out.
TEST_CASE("a run that is being stopped stays so when a repetition of its start was not sent")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.submit("job", {shortStep(1)});
    cluster.startResult = order_result::unanswered;
    cluster.settle();
    REQUIRE(cluster.starts.size() == 1);
    cluster.now += 400ms;
    respond(cluster, "a", {}, {});
    cluster.state.decide(cluster.now, cluster.wall());
    const std::vector<start_order> repeated = takeStarts(cluster.state);
    REQUIRE(repeated.size() == 1);

    cluster.state.cancel(2, "job", cluster.wall());
    cluster.state.handleStartResponse(repeated.front(), {order_result::not_sent, 0}, cluster.now, cluster.now);
    cluster.settle(30ms);
    cluster.settle(400ms);
    CHECK(cluster.starts.size() == 1);
    CHECK_FALSE(cluster.stops.empty());
    CHECK(cluster.state.findExecutor("a")->runs.size() == 1);
}

namespace {

/** Starts a job on an executor that does not answer the start and no poll afterwards. Returns when the job starts elsewhere, or nothing within 20 s.
    @param removedAfter when the registry removes the executor; nothing if it keeps it */
std::optional<duration> findStartElsewhere(bool isRegistryKnown, std::optional<duration> removedAfter)
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    if (isRegistryKnown) {
        cluster.state.confirmRegistry();
    }
    cluster.submit("job", {shortStep(1)});
    cluster.startResult = order_result::unanswered;
    cluster.settle();
    const time_point ordered = cluster.now;
    REQUIRE(cluster.starts.size() == 1);
    cluster.startResult = order_result::done;
    cluster.addExecutor("b");
    while (cluster.now < ordered + 20s) {
        cluster.failPoll("a");
        cluster.respondToPoll("b");
        if (removedAfter && cluster.now >= ordered + *removedAfter) {
            cluster.state.removeExecutor("a");
        }
        cluster.settle(20ms);
        if (cluster.starts.back().target.executor == "b") {
            return cluster.now - ordered;
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against a task that waits for an executor that is gone: its start order had no answer, and the run was kept for as long as a later boot could
// carry the order out (review case 5).
TEST_CASE("a run whose start had no answer is given up when its lease is over and the registry has dropped the executor")
{
    const scheduler_settings settings;
    SECTION("the registry drops the executor after its lease is over")
    {
        const auto started = findStartElsewhere(true, 5s);
        REQUIRE(started);
        CHECK(*started >= 5s);
        CHECK(*started < 5s + 500ms);
    }
    SECTION("the registry drops the executor before")
    {
        const auto started = findStartElsewhere(true, 500ms);
        REQUIRE(started);
        CHECK(*started >= settings.lease);
        CHECK(*started < settings.lease + 700ms);
    }
    SECTION("the registry keeps the executor, which may start again and carry the order out")
    {
        const auto started = findStartElsewhere(true, std::nullopt);
        REQUIRE(started);
        CHECK(*started >= settings.lateOrderTimeout);
    }
    SECTION("the leader has not read the registry yet")
    {
        const auto started = findStartElsewhere(false, 500ms);
        REQUIRE(started);
        CHECK(*started >= settings.lateOrderTimeout);
    }
}
