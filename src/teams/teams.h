#pragma once

/** Umbrella header of the teams module: keys, limits and shares of the teams whose jobs share the executors. */

#include "teams/fair_order.h"
#include "teams/key_check.h"
#include "teams/key_directory.h"
#include "teams/rate_allowance.h"
#include "teams/team_account.h"
#include "teams/team_ledger.h"
#include "teams/team_policy.h"
