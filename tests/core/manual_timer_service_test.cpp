#include "core/core.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against timers that fire out of order or after their subscription was cancelled.
TEST_CASE("timers fire in order until they are cancelled")
{
    manual_timer_service timers;
    std::vector<std::string> fired;
    auto repeating = timers.every(10ms, [&] { fired.emplace_back("every"); });
    auto once = timers.after(15ms, [&] { fired.emplace_back("once"); });
    auto cancelled = timers.after(12ms, [&] { fired.emplace_back("cancelled"); });
    cancelled.cancel();

    timers.advance(25ms);
    CHECK(fired == std::vector<std::string>{"every", "once", "every"});

    repeating.cancel();
    timers.advance(100ms);
    CHECK(fired.size() == 3);
    CHECK(timers.now().time_since_epoch() == 125ms);
}
