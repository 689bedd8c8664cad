#include "manual_cluster.h"
#include "scheduler/pool_planner.h"

#include <catch2/catch.hpp>
#include <map>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

wire::step_record shortStep()
{
    wire::step_record step;
    step.taskCount = 1;
    step.demand.cpuMillicores = 1'000;
    step.estimateMilliseconds = 300;
    return step;
}

constexpr const char *executorId = "a";

/** A job whose task runs on an executor, and the journal for a successor. */
struct running_job_fixture
{
    running_job_fixture()
    {
        cluster.addExecutor(executorId);
        cluster.submit("job", {shortStep()});
        cluster.state.decide(cluster.now, cluster.wall());
        const auto batch = cluster.state.takeBatch();
        for (const journal_entry &entry : batch->entries) {
            journal[entry.key] = entry.value;
        }
        cluster.state.confirmBatch(batch->number, cluster.now);
        cluster.settle();
        cluster.now += 400ms;
    }

    /** Passes the failure of a run to a leader, as the executor's end with the given number. */
    static void failRun(scheduler &leader, int run, std::int64_t number, time_point now)
    {
        REQUIRE(leader.takePoll(executorId, now));
        poll_response response;
        response.result = order_result::done;
        response.boot = 1;
        response.clockMilliseconds = 1'000 + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
        response.finished.push_back({number, {"job", 0, 0, 0}, run, run_end::failed, {}});
        leader.handlePollResponse(executorId, response, now, now);
    }

    manual_cluster cluster;
    std::map<std::string, std::string> journal;
};

/** Starts a successor that has no configuration, and passes the failure of the job's first run to it. */
std::unique_ptr<scheduler> leadWithoutConfiguration(running_job_fixture &fixture)
{
    auto successor = std::make_unique<scheduler>(scheduler_settings{});
    for (const auto &[key, value] : fixture.journal) {
        REQUIRE(successor->restore(key, value));
    }
    successor->lead(2, fixture.cluster.now, fixture.cluster.wall());
    successor->updateExecutor(fixture.cluster.state.findExecutor(executorId)->description, fixture.cluster.now);
    running_job_fixture::failRun(*successor, 1, 1, fixture.cluster.now);
    return successor;
}

queue_configuration withAttempts(queue_configuration configuration, int attempts)
{
    configuration.queues.front().maximumAttempts = attempts;
    return configuration;
}

} // namespace

// Guards against jobs that are shown as failed without cause: a leader that had no configuration yet took every queue to permit one attempt (review
// case 2).
TEST_CASE("a leader without a configuration does not end a job after a failed run")
{
    running_job_fixture fixture;
    const auto successor = leadWithoutConfiguration(fixture);
    CHECK(successor->findJob("job")->state == work_state::running);

    successor->setConfiguration(fixture.cluster.state.configuration());
    CHECK(successor->findJob("job")->state == work_state::running);
    successor->decide(fixture.cluster.now + 1s, fixture.cluster.wall());
    const scheduled_task &task = successor->findJob("job")->occurrences[0].steps[0].tasks[0];
    CHECK(task.failures == 1);
    CHECK(task.lastRun == 2);
}

// Guards against a start beyond the permitted attempts: the failure was counted while the number of attempts was not known.
TEST_CASE("a job whose attempts are used up ends as failed when the configuration arrives")
{
    running_job_fixture fixture;
    const auto successor = leadWithoutConfiguration(fixture);
    successor->setConfiguration(withAttempts(fixture.cluster.state.configuration(), 1));
    CHECK(successor->findJob("job")->state == work_state::failed);
    successor->decide(fixture.cluster.now + 1s, fixture.cluster.wall());
    CHECK(successor->findJob("job")->occurrences[0].steps[0].tasks[0].lastRun == 1);
}

// Guards against the same belief where a configuration drops the queue for a moment.
TEST_CASE("a failed run does not end a job whose queue is not configured at that moment")
{
    running_job_fixture fixture;
    scheduler &leader = fixture.cluster.state;
    const queue_configuration configuration = leader.configuration();
    queue_configuration withoutQueue = configuration;
    withoutQueue.version = 2;
    withoutQueue.queues.clear();
    leader.setConfiguration(withoutQueue);
    running_job_fixture::failRun(leader, 1, 1, fixture.cluster.now);
    CHECK(leader.findJob("job")->state == work_state::running);

    leader.setConfiguration(configuration);
    fixture.cluster.settle(200ms);
    CHECK(fixture.cluster.starts.size() == 2);
}

// Guards against a start beyond the attempts that a new configuration permits.
TEST_CASE("a configuration that permits fewer attempts ends the jobs that have used them up")
{
    running_job_fixture fixture;
    scheduler &leader = fixture.cluster.state;
    running_job_fixture::failRun(leader, 1, 1, fixture.cluster.now);
    leader.setConfiguration(withAttempts(leader.configuration(), 1));
    CHECK(leader.findJob("job")->state == work_state::failed);
}

// Guards against tasks that are stopped and start nowhere: a leader without a configuration places nothing, so it must not evacuate either.
TEST_CASE("a leader without a configuration evacuates no executor")
{
    manual_cluster first;
    for (const char *id : {"a", "b", "c"}) {
        first.addExecutor(id);
    }
    first.submit("lasting", {longRunningStep(2)});
    first.state.decide(first.now, first.wall());
    const auto batch = first.state.takeBatch();
    first.state.confirmBatch(batch->number, first.now);
    first.settle();
    REQUIRE(first.starts.size() == 2);
    const std::string evacuated = first.starts.front().target.executor;

    manual_cluster second;
    second.now = first.now;
    scheduler successor{scheduler_settings{}};
    for (const journal_entry &entry : batch->entries) {
        REQUIRE(successor.restore(entry.key, entry.value));
    }
    successor.lead(2, second.now, second.wall());
    const auto respondToAll = [&] {
        for (const char *id : {"a", "b", "c"}) {
            successor.updateExecutor(first.state.findExecutor(id)->description, second.now);
            if (successor.takePoll(id, second.now)) {
                poll_response response;
                response.result = order_result::done;
                response.boot = 1;
                response.clockMilliseconds = second.clock();
                for (const run_key &key : successor.findExecutor(id)->runs) {
                    response.running.push_back({key.task, key.run, {}, 100, 0});
                }
                successor.handlePollResponse(id, response, second.now, second.now);
            }
        }
    };
    const auto countStops = [&] {
        int stops = 0;
        for (int round = 0; round < 10; ++round) {
            second.now += 200ms;
            respondToAll();
            successor.decide(second.now, second.wall());
            for (const scheduler_action &action : successor.takeActions()) {
                stops += std::holds_alternative<stop_order>(action) ? 1 : 0;
            }
        }
        return stops;
    };
    respondToAll();
    successor.setEvacuating(evacuated, true);
    CHECK(countStops() == 0);
    successor.setConfiguration(first.state.configuration());
    CHECK(countStops() > 0);
}

// Guards against moves on a belief about demand: without a configuration no demand and no standby pool is known.
TEST_CASE("a leader without a configuration moves no host")
{
    manual_cluster cluster;
    std::map<std::string, host_description> hosts;
    for (const auto &[name, pool] : {std::pair("a", "service"), std::pair("b", "spare"), std::pair("c", "spare"), std::pair("d", "spare")}) {
        cluster.addExecutor(name);
        host_description &host = hosts[name];
        host.name = name;
        host.pool = pool;
        host.state = host_state::up;
        host.executor = name;
        host.capacity = {8'000, 16'000, 0};
    }
    pool_planner planner(cluster.state, {});
    planner.lead(1, cluster.now);
    const queue_configuration configuration = cluster.state.configuration();
    const auto countMoves = [&] {
        cluster.settle(10s);
        planner.decide(
            hosts, [](const std::string &) { return false; }, cluster.now);
        cluster.settle();
        return planner
            .decide(
                hosts, [](const std::string &) { return false; }, cluster.now)
            .size();
    };
    cluster.state.setConfiguration({});
    CHECK(countMoves() == 0);
    cluster.state.setConfiguration(configuration);
    CHECK(countMoves() > 0);
}
