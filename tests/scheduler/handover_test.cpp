#include "manual_cluster.h"

#include <catch2/catch.hpp>
#include <map>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** A leader and its journal, for tests of a successor that is restored from the journal. */
struct handover_fixture
{
    handover_fixture()
    {
        first.addExecutor("dark");
        wire::step_record step;
        step.taskCount = 1;
        step.demand.cpuMillicores = 1'000;
        step.estimateMilliseconds = 500;
        first.submit("job", {step});
    }

    void record(scheduler &state, time_point now)
    {
        if (const auto batch = state.takeBatch()) {
            for (const journal_entry &entry : batch->entries) {
                journal[entry.key] = entry.value;
            }
            state.confirmBatch(batch->number, now);
        }
    }

    /** Sends the start order of the job's task to an executor that does not respond. */
    void startUnanswered()
    {
        first.state.decide(first.now, first.wall());
        record(first.state, first.now);
        for (scheduler_action &action : first.state.takeActions()) {
            if (const auto *start = std::get_if<start_order>(&action)) {
                first.state.handleStartResponse(*start, order_response{}, first.now, first.now + 1s);
                orderedAt = first.now;
            }
        }
    }

    /** Runs a successor that gets no response from the first executor but can use another one. Returns when it starts the task there, or
        nothing if it does not before the timeout. */
    std::optional<time_point> findStartElsewhere(time_point from, bool hasResigned, duration timeout)
    {
        manual_cluster second;
        second.now = from;
        scheduler successor{scheduler_settings{}};
        successor.setConfiguration(first.state.configuration());
        for (const auto &[key, value] : journal) {
            REQUIRE(successor.restore(key, value));
        }
        successor.lead(2, from, second.wall(), hasResigned);
        executor_description other = first.state.findExecutor("dark")->description;
        other.id = "other";
        other.address = "other";
        successor.updateExecutor(other, from);
        for (time_point now = from; now < from + timeout; now += 20ms) {
            second.now = now;
            successor.decide(now, second.wall());
            record(successor, now);
            for (scheduler_action &action : successor.takeActions()) {
                const auto *start = std::get_if<start_order>(&action);
                if (start != nullptr && start->target.executor == "other") {
                    return now;
                }
            }
            for (const poll_order &poll : successor.takePolls(now)) {
                poll_response response;
                if (poll.target.executor == "other") {
                    response.result = order_result::done;
                    response.boot = 1;
                    response.clockMilliseconds = second.clock();
                }
                successor.handlePollResponse(poll.target.executor, response, now, now);
            }
        }
        return std::nullopt;
    }

    manual_cluster first;
    std::map<std::string, std::string> journal;
    time_point orderedAt{};
};

} // namespace

// Guards against restarting the full late-order timeout of a task at every orderly change of leader.
TEST_CASE("a successor takes the age of an unanswered order of its predecessor into account")
{
    handover_fixture fixture;
    fixture.startUnanswered();
    const time_point resigned = fixture.orderedAt + 6s;
    fixture.first.state.resign(resigned);
    fixture.record(fixture.first.state, resigned);

    const duration timeout = scheduler_settings{}.lateOrderTimeout;
    const auto started = fixture.findStartElsewhere(resigned, true, 20s);
    REQUIRE(started);
    CHECK(*started >= fixture.orderedAt + timeout);
    CHECK(*started < fixture.orderedAt + timeout + 200ms);
}

// Guards against two concurrent runs of a task: a predecessor that crashed may have repeated the start order shortly before its end.
TEST_CASE("a successor of a leader that has not resigned treats every unanswered order as new")
{
    handover_fixture fixture;
    fixture.startUnanswered();
    const time_point takenOver = fixture.orderedAt + 6s;
    const auto started = fixture.findStartElsewhere(takenOver, false, 20s);
    REQUIRE(started);
    CHECK(*started >= takenOver + scheduler_settings{}.lateOrderTimeout);
}

// Guards against a wrong count of pending jobs: a new leader treated every job with a recorded start order as started, and reported that
// almost none was pending (incident CONFIG, MIXED).
TEST_CASE("a successor counts a job as waiting until one of its tasks is known to have started")
{
    handover_fixture fixture;
    fixture.startUnanswered();
    scheduler successor{scheduler_settings{}};
    successor.setConfiguration(fixture.first.state.configuration());
    for (const auto &[key, value] : fixture.journal) {
        REQUIRE(successor.restore(key, value));
    }
    const time_point now = fixture.first.now + 2s;
    successor.lead(2, now, fixture.first.wall());
    const auto countPending = [&] {
        std::int64_t pending = -1;
        successor.takeActions();
        successor.countPending(1, "queue");
        for (const scheduler_action &action : successor.takeActions()) {
            if (const auto *response = std::get_if<call_response>(&action)) {
                pending = response->reply.pending;
            }
        }
        return pending;
    };
    CHECK(countPending() == 1);

    poll_response response;
    response.result = order_result::done;
    response.boot = 1;
    response.clockMilliseconds = 1'000;
    response.running.push_back({{"job", 0, 0, 0}, 1, {}, 10, 0});
    successor.updateExecutor(fixture.first.state.findExecutor("dark")->description, now);
    REQUIRE(successor.takePoll("dark", now + 1s));
    successor.handlePollResponse("dark", response, now + 1s, now + 1s);
    CHECK(countPending() == 0);
}

// Guards against two successive leaders exceeding the limit of unavailable tasks together: a task that the predecessor had ordered to stop was
// still listed as running, so the successor stopped another one (AVAIL, roll-beside-wave seed 5 of austral-pistas).
TEST_CASE("a successor evacuates no long-running task before the stops of its predecessor have taken effect")
{
    handover_fixture fixture;
    for (const char *id : {"a", "b", "c", "d"}) {
        fixture.first.addExecutor(id);
    }
    fixture.first.submit("lasting", {longRunningStep(3)});
    const auto settle = [&fixture](manual_cluster &cluster, duration time) {
        cluster.now += time;
        for (int round = 0; round < 3; ++round) {
            cluster.state.decide(cluster.now, cluster.wall());
            fixture.record(cluster.state, cluster.now);
            for (scheduler_action &action : cluster.state.takeActions()) {
                if (const auto *start = std::get_if<start_order>(&action)) {
                    cluster.starts.push_back(*start);
                    cluster.state.handleStartResponse(*start, {order_result::done, cluster.clock()}, cluster.now, cluster.now);
                } else if (const auto *stop = std::get_if<stop_order>(&action)) {
                    cluster.stops.push_back(*stop);
                }
            }
        }
    };
    const auto respondToAllPolls = [](manual_cluster &cluster) {
        for (const char *id : {"a", "b", "c", "d"}) {
            cluster.respondToPoll(id);
        }
    };
    settle(fixture.first, 20ms);
    settle(fixture.first, 400ms);
    respondToAllPolls(fixture.first);
    std::vector<std::string> hosts;
    for (const start_order &start : fixture.first.starts) {
        if (start.task.job == "lasting") {
            hosts.push_back(start.target.executor);
        }
    }
    REQUIRE(hosts.size() == 3);
    fixture.first.state.setEvacuating(hosts[0], true);
    settle(fixture.first, 20ms);
    REQUIRE(fixture.first.stops.size() == 1);
    fixture.first.state.resign(fixture.first.now);
    fixture.record(fixture.first.state, fixture.first.now);

    manual_cluster second;
    second.now = fixture.first.now + 50ms;
    for (const auto &[key, value] : fixture.journal) {
        REQUIRE(second.state.restore(key, value));
    }
    second.state.lead(2, second.now, second.wall(), true);
    for (const char *id : {"a", "b", "c", "d"}) {
        second.addExecutor(id);
    }
    second.state.setEvacuating(hosts[1], true);
    settle(second, 100ms);
    respondToAllPolls(second);
    settle(second, 100ms);
    CHECK(second.stops.empty());

    settle(second, scheduler_settings{}.maximumStopTime);
    respondToAllPolls(second);
    settle(second, 50ms);
    CHECK(second.stops.size() == 1);
}
