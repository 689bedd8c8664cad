#pragma once

/** Umbrella header of the core module: result codes, outcomes, identifiers, time, hashing, job keys and JSON checks. */

#include "core/digest.h"
#include "core/failure.h"
#include "core/identifiers.h"
#include "core/job_key.h"
#include "core/json_checker.h"
#include "core/manual_timer_service.h"
#include "core/outcome.h"
#include "core/result_code.h"
#include "core/time_types.h"
#include "core/timer_service.h"
#include "core/timer_subscription.h"
