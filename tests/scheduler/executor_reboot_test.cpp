#include "manual_cluster.h"
#include "wire/wire.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>

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

constexpr std::int64_t secondBoot = 2;

/** An idle executor "a" that starts again under its id. A job is started there before the registry shows the new boot. */
struct reboot_fixture
{
    reboot_fixture()
    {
        cluster.addExecutor("a");
        cluster.now += 20s;
        cluster.state.updateExecutor(entry(1, cluster.clock()), cluster.now);
        bootedAt = cluster.now;
        cluster.now += 20ms;
        cluster.submit("job", {shortStep()});
        cluster.state.decide(cluster.now, cluster.wall());
        cluster.state.confirmBatch(cluster.state.takeBatch()->number, cluster.now);
        for (scheduler_action &action : cluster.state.takeActions()) {
            if (const auto *start = std::get_if<start_order>(&action)) {
                cluster.starts.push_back(*start);
            }
        }
        REQUIRE(cluster.starts.size() == 1);
    }

    executor_description entry(std::int64_t boot, std::int64_t clock) const
    {
        executor_description description = cluster.state.findExecutor("a")->description;
        description.boot = boot;
        description.clockMilliseconds = clock;
        return description;
    }

    /** The clock of the second boot. */
    std::int64_t newClock() const
    {
        return 1'000 + std::chrono::duration_cast<std::chrono::milliseconds>(cluster.now - bootedAt).count();
    }

    void answerStart()
    {
        cluster.state.handleStartResponse(cluster.starts.front(), {order_result::done, newClock()}, cluster.now, cluster.now + 2ms);
        cluster.now += 2ms;
    }

    void showNewBoot()
    {
        cluster.state.updateExecutor(entry(secondBoot, newClock()), cluster.now);
    }

    poll_response listOf(std::int64_t boot, std::vector<running_entry> running, std::vector<finished_entry> finished) const
    {
        poll_response response;
        response.result = order_result::done;
        response.boot = boot;
        response.clockMilliseconds = newClock();
        response.running = std::move(running);
        response.finished = std::move(finished);
        return response;
    }

    manual_cluster cluster;
    time_point bootedAt{};
    const running_entry listedRun{{"job", 0, 0, 0}, 1, {}, 10, 0};
    const finished_entry listedEnd{1, {"job", 0, 0, 0}, 1, run_end::done, {}};
};

} // namespace

// Guards against two runs of a task at the same time: a run that the new boot had confirmed before the registry showed that boot was given up as
// one of the earlier boot, and its task was started again elsewhere (review case 1).
TEST_CASE("a run that a new boot has confirmed before the registry shows that boot is not started again")
{
    reboot_fixture fixture;
    manual_cluster &cluster = fixture.cluster;
    cluster.addExecutor("b");
    fixture.answerStart();
    cluster.now += 150ms;
    fixture.showNewBoot();
    cluster.settle();
    cluster.settle(100ms);
    CHECK(cluster.starts.size() == 1);

    REQUIRE(cluster.state.takePoll("a", cluster.now));
    cluster.state.handlePollResponse("a", fixture.listOf(secondBoot, {fixture.listedRun}, {}), cluster.now, cluster.now);
    cluster.settle(200ms);
    CHECK(cluster.starts.size() == 1);
    CHECK(cluster.state.findExecutor("a")->used.cpuMillicores == 1'000);

    REQUIRE(cluster.state.takePoll("a", cluster.now));
    cluster.state.handlePollResponse("a", fixture.listOf(secondBoot, {}, {fixture.listedEnd}), cluster.now, cluster.now);
    cluster.settle();
    CHECK(cluster.starts.size() == 1);
    CHECK(cluster.state.findJob("job")->state == work_state::completed);
}

// Guards against the opposite fault: a run that died with the earlier boot must not wait for anything but the next list of the new boot.
TEST_CASE("a run that the list of the new boot lacks is started again")
{
    reboot_fixture fixture;
    manual_cluster &cluster = fixture.cluster;
    fixture.answerStart();
    cluster.now += 150ms;
    fixture.showNewBoot();
    cluster.settle();
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    cluster.state.handlePollResponse("a", fixture.listOf(secondBoot, {}, {}), cluster.now, cluster.now);
    cluster.settle();
    REQUIRE(cluster.starts.size() == 2);
    CHECK(cluster.starts.back().run == 2);
}

// Guards against the loss of an end: a poll that was meant for the earlier boot acknowledged an end of the new boot by its number, so that the
// task was started again although it had completed.
TEST_CASE("a poll acknowledges only ends that were not acknowledged before")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.submit("job", {shortStep()});
    cluster.settle();
    cluster.now += 400ms;
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    poll_response response;
    response.result = order_result::done;
    response.boot = 1;
    response.clockMilliseconds = cluster.clock();
    response.finished.push_back({7, {"job", 0, 0, 0}, 1, run_end::done, {}});
    cluster.state.handlePollResponse("a", response, cluster.now, cluster.now);
    cluster.settle(400ms);

    const auto acknowledging = cluster.state.takePoll("a", cluster.now);
    REQUIRE(acknowledging);
    CHECK(acknowledging->acknowledgedUpTo == 7);
    response.finished.clear();
    cluster.state.handlePollResponse("a", response, cluster.now, cluster.now);

    cluster.submit("next", {shortStep()});
    cluster.settle();
    cluster.now += 400ms;
    const auto later = cluster.state.takePoll("a", cluster.now);
    REQUIRE(later);
    CHECK(later->acknowledgedUpTo == 0);
}

// Guards against a list of the earlier boot that arrives late: its ends were numbered for the new boot, whose own ends were then ignored.
TEST_CASE("a list of an earlier boot that arrives after the registry shows the new one is ignored")
{
    reboot_fixture fixture;
    manual_cluster &cluster = fixture.cluster;
    fixture.answerStart();
    cluster.now += 400ms;
    const time_point sentAt = cluster.now;
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    fixture.showNewBoot();
    cluster.now += 5ms;
    cluster.state.handlePollResponse("a", fixture.listOf(1, {}, {{9, {"old", 0, 0, 0}, 1, run_end::done, {}}}), sentAt, cluster.now);
    cluster.settle(400ms);
    CHECK(cluster.starts.size() == 1);
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    cluster.state.handlePollResponse("a", fixture.listOf(secondBoot, {}, {fixture.listedEnd}), cluster.now, cluster.now);
    CHECK(cluster.state.findJob("job")->state == work_state::completed);
    CHECK(cluster.starts.size() == 1);
}

namespace {

/** Lets the executor answer nothing for the given time. Returns when a second run is started elsewhere, or nothing. */
std::optional<time_point> findSecondStart(manual_cluster &cluster, duration timeout)
{
    const time_point end = cluster.now + timeout;
    while (cluster.now < end) {
        cluster.failPoll("a");
        cluster.settle(20ms);
        if (cluster.starts.size() > 1) {
            return cluster.now;
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against two runs of a task at the same time: an order with a lease on the clock of the earlier boot gave the new boot the longest lease, but the
// leader counted its own, shorter one and started the task elsewhere when that was over (review case 4).
TEST_CASE("the lease from an order that was meant for an earlier boot is taken to be the longest one")
{
    reboot_fixture fixture;
    manual_cluster &cluster = fixture.cluster;
    cluster.addExecutor("b");
    fixture.answerStart();
    const time_point granted = cluster.now;
    cluster.now += 150ms;
    fixture.showNewBoot();
    cluster.settle();
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    cluster.state.handlePollResponse("a", fixture.listOf(secondBoot, {fixture.listedRun}, {}), cluster.now, cluster.now);

    const duration maximumLease = scheduler_settings{}.maximumLease;
    const auto second = findSecondStart(cluster, 20s);
    REQUIRE(second);
    CHECK(*second >= granted + maximumLease);
    CHECK(*second < granted + maximumLease + 1s);
}

// Guards against the same belief of a successor, which does not know which orders its predecessor has sent.
TEST_CASE("a successor takes over the longest lease of an executor that has started again")
{
    reboot_fixture fixture;
    manual_cluster &cluster = fixture.cluster;
    std::map<std::string, std::string> journal;
    const auto record = [&journal](scheduler &state, time_point now) {
        if (const auto batch = state.takeBatch()) {
            for (const journal_entry &entry : batch->entries) {
                journal[entry.key] = entry.value;
            }
            state.confirmBatch(batch->number, now);
        }
    };
    cluster.submit("other", {shortStep()}); // the batch of the first job was taken by the fixture; this one has the later state
    fixture.answerStart();
    const time_point granted = cluster.now;
    cluster.now += 150ms;
    fixture.showNewBoot();
    cluster.state.decide(cluster.now, cluster.wall());
    record(cluster.state, cluster.now);
    cluster.state.resign(cluster.now);
    record(cluster.state, cluster.now);
    REQUIRE(journal.contains(scheduler::leaseKey("a")));

    scheduler successor{scheduler_settings{}};
    wire::work_record work;
    work.queue = "queue";
    work.steps = {shortStep()};
    REQUIRE(successor.restore(scheduler::workKey("job"), encode(work)));
    for (const auto &[key, value] : journal) {
        REQUIRE(successor.restore(key, value));
    }
    successor.lead(2, cluster.now, cluster.wall(), true);
    CHECK(successor.findExecutor("a")->leaseExpiry >= granted + scheduler_settings{}.maximumLease);

    // The record of an expired lease is removed.
    successor.decide(cluster.now + 20s, cluster.wall());
    const auto batch = successor.takeBatch();
    REQUIRE(batch);
    CHECK(std::any_of(batch->entries.begin(), batch->entries.end(),
                      [](const journal_entry &entry) { return entry.key == scheduler::leaseKey("a") && entry.value.empty(); }));
}

// Guards against a lease on a wrong clock: a response of the earlier boot that arrives late must not set the clock of the new one back.
TEST_CASE("a response to an order that was sent to an earlier boot does not set the clock of the new boot")
{
    reboot_fixture fixture;
    manual_cluster &cluster = fixture.cluster;
    const time_point sentAt = cluster.now;
    cluster.now += 50ms;
    fixture.showNewBoot();
    cluster.state.handleStartResponse(cluster.starts.front(), {order_result::done, cluster.clock()}, sentAt, cluster.now);
    CHECK(cluster.state.findExecutor("a")->clockMilliseconds == fixture.newClock());
}

// Guards against two runs of a task: a start order was in flight when the registry showed a new boot. That boot confirmed the stop of the run and the task
// was started elsewhere; only then the order counted as unanswered, and a third boot carried it out (seed 76958718093545 of the property test).
TEST_CASE("a task whose start order is in flight when a new boot is known waits until the order can no longer be carried out")
{
    reboot_fixture fixture;
    manual_cluster &cluster = fixture.cluster;
    cluster.addExecutor("b");
    const time_point orderedAt = cluster.now;
    cluster.now += 20ms;
    fixture.showNewBoot();
    cluster.settle();
    REQUIRE_FALSE(cluster.stops.empty());
    cluster.state.handleStopResponse(cluster.stops.front(), {order_result::done, fixture.newClock()}, cluster.now, cluster.now);
    cluster.now += 20ms;
    REQUIRE(cluster.state.takePoll("a", cluster.now));
    cluster.state.handlePollResponse("a", fixture.listOf(secondBoot, {}, {}), cluster.now, cluster.now);
    cluster.settle();
    CHECK(cluster.starts.size() == 1);

    SECTION("without a response it waits for the longest delay of an order")
    {
        cluster.now = orderedAt + 1s;
        cluster.state.handleStartResponse(cluster.starts.front(), {order_result::unanswered, 0}, orderedAt, cluster.now);
        cluster.now = orderedAt + scheduler_settings{}.lateOrderTimeout - 30ms;
        cluster.settle();
        CHECK(cluster.starts.size() == 1);
        cluster.settle(60ms);
        CHECK(cluster.starts.size() == 2);
    }
    SECTION("with a response it need not wait")
    {
        cluster.now += 20ms;
        cluster.state.handleStartResponse(cluster.starts.front(), {order_result::superseded, fixture.newClock()}, orderedAt, cluster.now);
        cluster.settle(60ms);
        CHECK(cluster.starts.size() == 2);
    }
}
