#include "manual_cluster.h"

#include <catch2/catch.hpp>
#include <map>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr int gangSize = 4;
constexpr int permittedAttempts = 4; // of the queue of manual_cluster

wire::step_record gangStep()
{
    wire::step_record step;
    step.taskCount = gangSize;
    step.demand.cpuMillicores = 1'000;
    step.estimateMilliseconds = 300;
    step.gang = true;
    return step;
}

/** Ends `failed` of the members from `first` on, numbered on. */
std::vector<finished_entry> failedEnds(int run, int first, int count, std::int64_t &number)
{
    std::vector<finished_entry> ends;
    for (int index = first; index < first + count; ++index) {
        ends.push_back({++number, {"gang", 0, 0, index}, run, run_end::failed, {}});
    }
    return ends;
}

void listEnds(scheduler &state, const std::string &executor, std::vector<finished_entry> ends, std::int64_t clock, time_point now)
{
    REQUIRE(state.takePoll(executor, now));
    poll_response response;
    response.result = order_result::done;
    response.boot = 1;
    response.clockMilliseconds = clock;
    response.finished = std::move(ends);
    state.handlePollResponse(executor, response, now, now);
}

} // namespace

// Guards against a gang that is shown as failed after one failed run: each of its members counted as an attempt of its own (review case 7).
TEST_CASE("a failed run of a gang is one attempt, however many of its members fail")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.submit("gang", {gangStep()});
    cluster.settle();
    std::int64_t number = 0;
    for (int run = 1; run <= permittedAttempts; ++run) {
        REQUIRE(cluster.starts.size() == static_cast<std::size_t>(run * gangSize));
        REQUIRE(cluster.starts.back().run == run);
        CHECK_FALSE(isFinal(cluster.state.findJob("gang")->state));
        cluster.now += 400ms;
        listEnds(cluster.state, "a", failedEnds(run, 0, gangSize, number), cluster.clock(), cluster.now);
        cluster.settle();
        cluster.settle(200ms);
    }
    CHECK(cluster.state.findJob("gang")->state == work_state::failed);
    CHECK(cluster.starts.size() == permittedAttempts * gangSize);
}

// Guards against the opposite fault: attempts in which different members fail add up.
TEST_CASE("failed runs of a gang add up whichever member fails")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.submit("gang", {gangStep()});
    cluster.settle();
    std::int64_t number = 0;
    for (int run = 1; run <= permittedAttempts; ++run) {
        CHECK_FALSE(isFinal(cluster.state.findJob("gang")->state));
        std::vector<finished_entry> ends = failedEnds(run, 0, gangSize, number);
        for (finished_entry &end : ends) {
            end.end = end.task.index == run - 1 ? run_end::failed : run_end::broken;
        }
        cluster.now += 400ms;
        listEnds(cluster.state, "a", std::move(ends), cluster.clock(), cluster.now);
        cluster.settle();
        cluster.settle(200ms);
    }
    CHECK(cluster.state.findJob("gang")->state == work_state::failed);
}

// Guards against a run that counts twice because the leader changes between the ends of its members.
TEST_CASE("a successor does not count a failed run of a gang again")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    std::map<std::string, std::string> journal;
    const auto record = [&journal](scheduler &state, time_point now) {
        if (const auto batch = state.takeBatch()) {
            for (const journal_entry &entry : batch->entries) {
                journal[entry.key] = entry.value;
            }
            state.confirmBatch(batch->number, now);
        }
    };
    cluster.submit("gang", {gangStep()});
    cluster.state.decide(cluster.now, cluster.wall());
    record(cluster.state, cluster.now);
    for (scheduler_action &action : cluster.state.takeActions()) {
        if (const auto *start = std::get_if<start_order>(&action)) {
            cluster.state.handleStartResponse(*start, {order_result::done, cluster.clock()}, cluster.now, cluster.now);
        }
    }
    std::int64_t number = 0;
    cluster.now += 400ms;
    listEnds(cluster.state, "a", failedEnds(1, 0, 2, number), cluster.clock(), cluster.now);
    record(cluster.state, cluster.now);

    scheduler successor{scheduler_settings{}};
    for (const auto &[key, value] : journal) {
        REQUIRE(successor.restore(key, value));
    }
    successor.setConfiguration(cluster.state.configuration());
    successor.lead(2, cluster.now, cluster.wall(), true);
    successor.updateExecutor(cluster.state.findExecutor("a")->description, cluster.now);
    listEnds(successor, "a", failedEnds(1, 2, 2, number), cluster.clock(), cluster.now);

    int failures = 0;
    for (const scheduled_task &task : successor.findJob("gang")->occurrences.front().steps.front().tasks) {
        failures += task.failures;
    }
    CHECK(failures == 1);
}
