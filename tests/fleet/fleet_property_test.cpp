#include "fleet_model.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <rapidcheck/catch.h>

using namespace parsleyglade;

namespace {

std::vector<std::uint32_t> anySteps()
{
    return *rc::gen::resize(500, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>()));
}

} // namespace

// Guards against these failures, caused by delayed, lost and duplicated appends, frozen, killed and restarted processes, or concurrent
// planners: two entry hosts use a host for different pools, planned work exceeds the budget, a leaving host receives work, folds diverge,
// a move never ends.
TEST_CASE("moves, drains and waves keep all invariants under faults")
{
    model_counts total;
    rc::prop("any steps", [&total] {
        fleet_model model;
        for (const std::uint32_t choice : anySteps()) {
            model.step(choice);
        }
        model.settle();
        total.steps += model.counts().steps;
        total.joins += model.counts().joins;
        total.plannedStarts += model.counts().plannedStarts;
        total.copies += model.counts().copies;
        total.delayed += model.counts().delayed;
        total.kills += model.counts().kills;
        total.freezes += model.counts().freezes;
        total.jobs += model.counts().jobs;
        total.drains += model.counts().drains;
    });
    std::cout << "steps=" << total.steps << " joins=" << total.joins << " plannedStarts=" << total.plannedStarts << " copies=" << total.copies
              << " late=" << total.delayed << " kills=" << total.kills << " freezes=" << total.freezes << " jobs=" << total.jobs << " drains=" << total.drains
              << std::endl;
    CHECK(total.joins > 0);
    CHECK(total.jobs > 0);
}
