#pragma once

/** Umbrella header of the fleet module: pool membership, availability budgets, spare capacity, moves and maintenance waves. */

#include "fleet/availability_budget.h"
#include "fleet/host_health.h"
#include "fleet/membership.h"
#include "fleet/move_planner.h"
#include "fleet/move_records.h"
#include "fleet/spare_policy.h"
#include "fleet/wave_planner.h"
#include "fleet/wave_runner.h"
