#pragma once

/** Umbrella header of the control module: leadership, the journal, calls to the leader and what it needs of the platform. */

#include "control/control_daemon.h"
#include "control/control_settings.h"
#include "control/executor_client.h"
#include "control/keyed_store.h"
#include "control/record_decoder.h"
#include "control/work_gateway.h"
