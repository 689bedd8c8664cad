#pragma once

/** Umbrella header of the placement module: run-time estimates, endpoint views, ejection, placement policies, admission and retries. */

#include "placement/admission_queue.h"
#include "placement/endpoint_ejector.h"
#include "placement/endpoint_view.h"
#include "placement/job_class.h"
#include "placement/placement_policy.h"
#include "placement/placement_request.h"
#include "placement/retry_after_policy.h"
#include "placement/retry_budget.h"
#include "placement/run_time_estimator.h"
#include "placement/select_endpoint.h"
#include "placement/urgency_class.h"
