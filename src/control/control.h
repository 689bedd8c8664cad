#pragma once

/** Umbrella header of the control module: leader election, the journal, calls to the leader, and interfaces to the platform. */

#include "control/control_daemon.h"
#include "control/control_settings.h"
#include "control/executor_client.h"
#include "control/keyed_store.h"
#include "control/record_decoder.h"
#include "control/work_gateway.h"
