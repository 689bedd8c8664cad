#include "scheduler/late_starts.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr duration interval = 50ms;
constexpr time_point sentAt{100s};
constexpr time_point expiry = sentAt + 12'500ms;

run_key makeRun(int index)
{
    return {{"job", 0, 0, index}, 1};
}

bool isAlwaysOver(const run_key &)
{
    return true;
}

std::vector<run_key> takeStops(late_starts &starts, duration sinceSent)
{
    return starts.takeStops(sentAt + sinceSent, interval, isAlwaysOver);
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
    CHECK(starts.findExpiry(makeRun(1)) == expiry);
    CHECK_FALSE(starts.findExpiry(makeRun(0)).has_value());

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

    starts.startNewBoot();
    CHECK(takeStops(starts, 2s) == std::vector<run_key>{makeRun(0), makeRun(1)});
    CHECK(takeStops(starts, 2s + interval / 2).empty());
    CHECK(starts.confirmStop(makeRun(0)));
    CHECK_FALSE(starts.confirmStop(makeRun(0)));
    CHECK(takeStops(starts, 2s + interval) == std::vector<run_key>{makeRun(1)});
    CHECK(starts.confirmStop(makeRun(1)));

    starts.startNewBoot();
    CHECK(takeStops(starts, 3s).size() == 2);
}

// Guards against a boot that nothing has named yet and that hears of an ended run too late (review case 12): a stop is sent at each interval although the
// current boot rejects the order, so that the next one hears it soon. With several orders the stops take turns, so that their rate does not grow.
TEST_CASE("a stop is sent at each interval until the order can no longer be carried out")
{
    late_starts starts;
    starts.addSent(makeRun(0), expiry);
    starts.addSent(makeRun(1), expiry);
    starts.settleUnanswered(makeRun(0), expiry, true);
    starts.settleUnanswered(makeRun(1), expiry, true);

    std::vector<run_key> stopped;
    for (int step = 0; step < 4; ++step) {
        const std::vector<run_key> due = takeStops(starts, 2s + step * interval);
        REQUIRE(due.size() == 1);
        stopped.push_back(due.front());
        CHECK(takeStops(starts, 2s + step * interval + interval / 2).empty());
    }
    CHECK(stopped == std::vector<run_key>{makeRun(0), makeRun(1), makeRun(0), makeRun(1)});

    starts.removeExpired(expiry + 1us);
    CHECK(takeStops(starts, 13s).empty());
}

// Guards against a stop of a run that is at work.
TEST_CASE("no stop is sent for a run that is not over")
{
    late_starts starts;
    starts.addRestored(makeRun(0), expiry);
    starts.addRestored(makeRun(1), expiry);
    const auto isOver = [](const run_key &key) {
        return key == makeRun(1);
    };
    CHECK(starts.takeStops(sentAt + 1s, interval, isOver) == std::vector<run_key>{makeRun(1)});
    starts.startNewBoot();
    CHECK(starts.takeStops(sentAt + 2s, interval, isOver) == std::vector<run_key>{makeRun(1)});
}

// Guards against an interval that is lost when the stop fails on a connection to an earlier boot.
TEST_CASE("a stop that failed at once is repeated at once")
{
    late_starts starts;
    starts.addRestored(makeRun(0), expiry);
    REQUIRE(takeStops(starts, 1s).size() == 1);
    starts.hastenStop();
    CHECK(takeStops(starts, 1s + 1ms).size() == 1);
    CHECK(takeStops(starts, 1s + 2ms).empty());
}

// Guards against a run whose only order was carried out and for which stops are sent all the same.
TEST_CASE("an order that was carried out can't be late")
{
    late_starts starts;
    starts.addSent(makeRun(0), expiry);
    SECTION("its response is lost before a list shows its run")
    {
        starts.settleUnanswered(makeRun(0), expiry, true);
        starts.removeCarriedOut(makeRun(0));
        CHECK(starts.isEmpty());
    }
    SECTION("a list shows its run before its response is lost")
    {
        starts.removeCarriedOut(makeRun(0));
        starts.settleUnanswered(makeRun(0), expiry, true);
        CHECK(starts.isEmpty());
    }
}

// Guards against an order in flight that is forgotten when its run is given up, and against a response that does not count because it comes later.
TEST_CASE("an order in flight may be late once its run is given up, until its response is there")
{
    late_starts starts;
    starts.addSent(makeRun(0), expiry);
    starts.giveUp(makeRun(0));
    CHECK(starts.awaitsResponse());
    CHECK_FALSE(starts.isEmpty());
    SECTION("with a response")
    {
        CHECK(starts.settle(makeRun(0)) == expiry);
        CHECK(starts.isEmpty());
    }
    SECTION("without one")
    {
        starts.settleUnanswered(makeRun(0), expiry, true);
        CHECK(starts.orders().size() == 1);
    }
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
    CHECK_FALSE(starts.isEmpty());
}
