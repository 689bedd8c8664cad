#pragma once

/** Umbrella header of the jobs module: claim fold, claim coordinator, attempt tracker, decision table and response cache. */

#include "jobs/attempt_tracker.h"
#include "jobs/claim_coordinator.h"
#include "jobs/claim_fold.h"
#include "jobs/coordinator_action.h"
#include "jobs/coordinator_settings.h"
#include "jobs/decision_table.h"
#include "jobs/response_cache.h"
