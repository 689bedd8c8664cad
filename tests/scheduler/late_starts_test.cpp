#include "scheduler/late_starts.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr duration repeatDelay = 300ms;
constexpr time_point sentAt{100s};
constexpr time_point expiry = sentAt + 12'500ms;

run_key makeRun(int index)
{
    return {{"job", 0, 0, index}, 1};
}

} // namespace

// Guards against an order that is forgotten although it may still be carried out, and against one that is kept although its response is there.
TEST_CASE("only an order without a response may be carried out late")
{
    late_starts starts;
    starts.addSent(makeRun(0), expiry);
    starts.addSent(makeRun(1), expiry);
    CHECK(starts.awaitsResponse());
    CHECK(starts.isEmpty());

    CHECK_FALSE(starts.settle(makeRun(0)).has_value());
    starts.settleUnanswered(makeRun(1), expiry, true);
    CHECK_FALSE(starts.awaitsResponse());
    REQUIRE(starts.orders().size() == 1);
    CHECK(starts.orders().front().run == makeRun(1));

    starts.removeExpired(expiry);
    CHECK_FALSE(starts.isEmpty());
    starts.removeExpired(expiry + 1us);
    CHECK(starts.isEmpty());
}

// Guards against a new boot that is not told of a run, because the order had no response yet or because an earlier boot has confirmed the stop.
TEST_CASE("each new boot is told to stop the runs whose start order may be late until it confirms")
{
    late_starts starts;
    starts.addSent(makeRun(0), expiry);
    starts.addSent(makeRun(1), expiry);
    starts.settleUnanswered(makeRun(0), expiry, true);
    CHECK(starts.takeStops(sentAt + 1s, repeatDelay).empty());

    starts.startNewBoot();
    CHECK(starts.takeStops(sentAt + 2s, repeatDelay) == std::vector<run_key>{makeRun(0), makeRun(1)});
    CHECK(starts.takeStops(sentAt + 2'200ms, repeatDelay).empty());
    starts.confirmStop(makeRun(0));
    CHECK(starts.takeStops(sentAt + 2'300ms, repeatDelay) == std::vector<run_key>{makeRun(1)});
    starts.confirmStop(makeRun(1));
    CHECK_FALSE(starts.hasUnblocked());

    starts.startNewBoot();
    CHECK(starts.takeStops(sentAt + 3s, repeatDelay).size() == 2);
}

// Guards against a task that waits for an order whose response has come after all.
TEST_CASE("a response that arrives after a new boot became known ends the wait for its order")
{
    late_starts starts;
    starts.addSent(makeRun(0), expiry);
    starts.startNewBoot();
    CHECK(starts.awaitsResponse());
    CHECK(starts.settle(makeRun(0)) == expiry);
    CHECK(starts.isEmpty());
}

// Guards against an order of an earlier leader that counts as one that awaits its response, which never comes.
TEST_CASE("an order of an earlier leader may be late from the start")
{
    late_starts starts;
    starts.addRestored(makeRun(0), expiry);
    CHECK_FALSE(starts.awaitsResponse());
    CHECK_FALSE(starts.hasUnblocked());
    CHECK(starts.takeStops(sentAt, repeatDelay).empty());
    starts.startNewBoot();
    CHECK(starts.hasUnblocked());
}
