#include "runtime/runtime.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against lost messages and against timers that fire after their subscription was cancelled.
TEST_CASE("the loop runs posted messages and timers")
{
    event_loop loop;
    std::vector<std::string> ran;
    loop.post([&] { ran.emplace_back("message"); });
    auto cancelled = loop.after(1ms, [&] { ran.emplace_back("cancelled"); });
    cancelled.cancel();
    auto repeating = loop.every(2ms, [&] { ran.emplace_back("tick"); });
    auto end = loop.after(20ms, [&] { loop.stop(); });
    loop.run();

    REQUIRE(ran.size() >= 3);
    CHECK(ran[0] == "message");
    CHECK(std::count(ran.begin(), ran.end(), "cancelled") == 0);
}
