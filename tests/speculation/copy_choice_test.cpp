#include "speculation/speculation.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Load: a slow task on a sound executor, and sound tasks on a slow one. Guards against copies of tasks that are slow anywhere.
TEST_CASE("an executor is slow when most of its runs are", "[speculation]")
{
    CHECK_FALSE(isSlowExecutor({}));
    CHECK_FALSE(isSlowExecutor({7.0}));
    CHECK_FALSE(isSlowExecutor({7.0, 7.0}));
    CHECK_FALSE(isSlowExecutor({7.0, 1.0, 0.9, 1.2}));
    CHECK_FALSE(isSlowExecutor({1.5, 1.5, 1.5}));
    CHECK(isSlowExecutor({4.0, 5.0, 1.0}));
    CHECK(isSlowExecutor({8.0, 8.0, 7.0, 1.0, 8.0}));
}

// Guards against a young run that is taken for a slow one.
TEST_CASE("the slowness of a run is judged by its progress once there is some, or by its age once it is overdue", "[speculation]")
{
    CHECK_FALSE(projectedSlowness(300ms, 1s, 0));
    CHECK_FALSE(projectedSlowness(300ms, 1s, 4));
    CHECK_FALSE(projectedSlowness(300ms, 0s, 50));
    CHECK(projectedSlowness(500ms, 1s, 50) == Approx(1.0));
    CHECK(projectedSlowness(800ms, 1s, 10) == Approx(8.0));
    CHECK(projectedSlowness(2'500ms, 1s, 0) == Approx(2.5));
}

// Load: slow executors beside a full pool, and many of them at once. Guards against copies that take the room of tasks without a run, or more than their share.
TEST_CASE("a copy is made only where it gains and takes nothing from others", "[speculation]")
{
    copy_inputs inputs;
    inputs.isExecutorSlow = true;
    inputs.remaining = 2'100ms;
    inputs.expected = 1s;
    inputs.demandMillicores = 1'000;
    inputs.copiesMillicores = 4'000;
    inputs.capacityMillicores = 100'000;
    CHECK(chooseCopy(inputs) == copy_choice::copies);

    copy_inputs changed = inputs;
    changed.isExecutorSlow = false;
    CHECK(chooseCopy(changed) == copy_choice::executor_not_slow);
    changed = inputs;
    changed.remaining = 2s;
    CHECK(chooseCopy(changed) == copy_choice::ends_soon);
    changed = inputs;
    changed.isRoomWanted = true;
    CHECK(chooseCopy(changed) == copy_choice::room_wanted);
    changed = inputs;
    changed.copiesMillicores = 4'001;
    CHECK(chooseCopy(changed) == copy_choice::share_used_up);
    changed = inputs;
    changed.capacityMillicores = 0;
    CHECK(chooseCopy(changed) == copy_choice::share_used_up);
}
