#pragma once

#include "entry/caller_task.h"
#include "entry/claim_task.h"
#include "entry/configuration_task.h"
#include "entry/endpoint_task.h"
#include "entry/entry_settings.h"
#include "entry/fleet_task.h"
#include "entry/job_task.h"
#include "entry/peer_task.h"
#include "entry/planner_task.h"

#include <functional>

namespace parsleyglade {

/** References to the tasks that the operators' interface queries and controls. All of them must outlive the interface. */
struct admin_context
{
    event_loop &loop;
    const entry_settings &settings;
    peer_task &peers;
    claim_task &claims;
    configuration_task &configuration;
    fleet_task &fleet;
    endpoint_task &endpoints;
    job_task &jobs;
    planner_task &planner;
    caller_task &callers;
    std::function<bool()> isReady; /**< Whether this entry host is ready to accept jobs. */
};

} // namespace parsleyglade
