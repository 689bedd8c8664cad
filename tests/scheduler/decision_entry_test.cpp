#include "manual_cluster.h"

#include <catch2/catch.hpp>
#include <map>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against changes of the text of decisions: operators and scripts read the names, subjects and inputs from the log.
TEST_CASE("decisions about a task name the job, the task, the executor and the inputs")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    wire::step_record step;
    step.taskCount = 1;
    step.demand.cpuMillicores = 1'000;
    step.estimateMilliseconds = 300;
    cluster.submit("job", {step});
    std::map<std::string_view, decision_entry> decisions;
    const auto round = [&] {
        cluster.now += 100ms;
        cluster.state.decide(cluster.now, cluster.wall());
        if (const auto batch = cluster.state.takeBatch()) {
            cluster.state.confirmBatch(batch->number, cluster.now);
        }
        for (const scheduler_action &action : cluster.state.takeActions()) {
            if (const auto *entry = std::get_if<decision_entry>(&action)) {
                decisions[entry->decision] = *entry;
            } else if (const auto *start = std::get_if<start_order>(&action)) {
                cluster.state.handleStartResponse(*start, {order_result::done, cluster.clock()}, cluster.now, cluster.now);
            }
        }
    };
    round();
    REQUIRE(cluster.state.takePoll("a", cluster.now + 1s));
    poll_response response;
    response.result = order_result::done;
    response.boot = 1;
    response.clockMilliseconds = cluster.clock();
    response.finished.push_back({7, {"job", 0, 0, 0}, 1, run_end::done, {}});
    cluster.state.handlePollResponse("a", response, cluster.now, cluster.now);
    round();

    CHECK(decisions["accept"].jobText() == "job");
    CHECK(decisions["accept"].taskText().empty());
    CHECK(decisions["accept"].inputText() == "queue=queue configuration=1");
    CHECK(decisions["start"].jobText() == "job");
    CHECK(decisions["start"].taskText() == "job.0.0.0");
    CHECK(decisions["start"].executor == "a");
    CHECK(decisions["start"].inputText() == "run=1 batch=1");
    CHECK(decisions["end"].taskText() == "job.0.0.0");
    CHECK(decisions["end"].inputText() == "run=1 end=done number=7");
    CHECK(decisions["finish"].inputText() == "state=completed");
}
