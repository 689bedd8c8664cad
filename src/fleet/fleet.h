#pragma once

/** Umbrella header of the fleet module: membership, availability budgets, spare capacity, moves and maintenance waves. */

#include "fleet/availability_budget.h"
#include "fleet/host_health.h"
#include "fleet/membership.h"
