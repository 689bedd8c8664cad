#include "locality/locality.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** A task of one second that takes one and a half elsewhere, of a job with time to spare. */
near_wait_inputs makeInputs(std::optional<duration> expectedWait)
{
    near_wait_inputs inputs;
    inputs.expectedWait = expectedWait;
    inputs.runTime = 1s;
    inputs.remoteFactor = 1.5;
    inputs.slack = 5s;
    return inputs;
}

} // namespace

// Load: the near rack is busy for 0.1, 0.5 and 3 s. Guards against a wait that costs more than it saves, and against a task that never waits.
TEST_CASE("a task waits for a near place as long as running elsewhere costs more", "[locality]")
{
    CHECK(chooseNear(makeInputs(100ms)) == near_choice::waits);
    CHECK(chooseNear(makeInputs(249ms)) == near_choice::waits);
    CHECK(chooseNear(makeInputs(500ms)) == near_choice::costs_more);
    CHECK(chooseNear(makeInputs(3s)) == near_choice::costs_more);

    near_wait_inputs longRun = makeInputs(1'900ms);
    longRun.runTime = 8s;
    CHECK(chooseNear(longRun) == near_choice::waits);
    longRun.runTime = 20s;
    longRun.expectedWait = 2s;
    CHECK(chooseNear(longRun) == near_choice::costs_more); // the longest wait
}

// Failure: the near rack is lost or draining. Guards against a task that waits for a place that never comes.
TEST_CASE("a task does not wait when no near place is expected", "[locality]")
{
    CHECK(chooseNear(makeInputs(std::nullopt)) == near_choice::not_expected);
}

// Guards against a forecast that is wrong in each round and makes a task wait for ever.
TEST_CASE("all waits of a task together are bounded by what a near place saves", "[locality]")
{
    near_wait_inputs inputs = makeInputs(100ms);
    duration waited{};
    while (chooseNear(inputs) == near_choice::waits) {
        waited += 10ms;
        inputs.waited = waited;
    }
    CHECK(waited <= 250ms);
    CHECK(waited >= 100ms);
}

// Load: others wait for the place elsewhere. Guards against a task that takes the room of others for longer than it needs near its data.
TEST_CASE("a task waits longer when others want the room elsewhere", "[locality]")
{
    near_wait_inputs inputs = makeInputs(800ms);
    CHECK(chooseNear(inputs) == near_choice::costs_more);
    inputs.isRoomWanted = true;
    CHECK(chooseNear(inputs) == near_choice::waits);
}

// Guards against a job that becomes late because it waits, although it would be on time elsewhere.
TEST_CASE("a task does not wait when that alone makes its job late", "[locality]")
{
    near_wait_inputs inputs = makeInputs(700ms);
    inputs.isRoomWanted = true;
    inputs.slack = 600ms;
    CHECK(chooseNear(inputs) == near_choice::would_be_late);
    inputs.slack = 400ms; // late either way
    CHECK(chooseNear(inputs) == near_choice::waits);
}

// Guards against a bound that some mix of inputs breaks: a task that waits ends at most its remote loss later than one that never waits, twice that where
// others want the room.
TEST_CASE("waiting costs a task at most twice what a near place saves", "[locality]")
{
    rc::prop("bound", [] {
        near_wait_inputs inputs;
        inputs.runTime = std::chrono::milliseconds(*rc::gen::inRange(1, 10'000));
        inputs.remoteFactor = 1.0 + *rc::gen::inRange(0, 40) / 10.0;
        inputs.slack = std::chrono::milliseconds(*rc::gen::inRange(-5'000, 10'000));
        inputs.waited = std::chrono::milliseconds(*rc::gen::inRange(0, 3'000));
        inputs.expectedWait = std::chrono::milliseconds(*rc::gen::inRange(0, 5'000));
        inputs.isRoomWanted = *rc::gen::arbitrary<bool>();
        if (chooseNear(inputs) == near_choice::waits) {
            RC_ASSERT(inputs.waited + *inputs.expectedWait <= 2 * remoteLoss(inputs));
            RC_ASSERT(inputs.waited + *inputs.expectedWait <= maximumNearWait);
        }
    });
}

// Load: all jobs want one rack. Guards against many tasks that wait for the same place, each as if it was alone.
TEST_CASE("tasks in line wait for the ends behind those before them", "[locality]")
{
    rack_forecast forecast({{500, {{300ms, 1'000}, {100ms, 1'000}}}, {0, {{200ms, 2'000}}}});
    CHECK(forecast.freeMillicores() == 500);
    CHECK(forecast.waitFor(500) == duration::zero());
    CHECK(forecast.waitFor(1'000) == duration(100ms));
    forecast.queue(1'000);
    CHECK(forecast.waitFor(1'000) == duration(200ms));
    forecast.queue(1'000);
    CHECK(forecast.waitFor(1'000) == duration(200ms));
    forecast.queue(1'000);
    CHECK(forecast.waitFor(1'000) == duration(300ms));
    forecast.queue(1'000);
    CHECK(forecast.waitFor(1'000) == std::nullopt);
    CHECK(forecast.waitFor(500) == duration(300ms));
}

// Guards against a rack that looks free because small amounts are free on many executors.
TEST_CASE("a task needs room on one executor", "[locality]")
{
    const rack_forecast forecast({{900, {}}, {900, {}}, {900, {{400ms, 200}}}});
    CHECK(forecast.waitFor(1'000) == duration(400ms));
    CHECK(forecast.waitFor(2'000) == std::nullopt);
}

// Guards against a forecast that trusts the declared time of a run that has already outlasted it.
TEST_CASE("the remaining time of a run follows its progress, or its age once it is overdue", "[locality]")
{
    CHECK(expectedRemaining(300ms, 1s, 0) == duration(700ms));
    CHECK(expectedRemaining(1'000ms, 1s, 25) == duration(3s));
    CHECK(expectedRemaining(4s, 1s, 0) == duration(2s));
    CHECK(expectedRemaining(1s, 1s, 100) == duration::zero());
}
