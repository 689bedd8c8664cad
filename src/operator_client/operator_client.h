#pragma once

/** Umbrella header of the operator_client module, which implements the commands of the operators' client. */

#include "operator_client/admin_client.h"
#include "operator_client/exit_code.h"
#include "operator_client/operator_commands.h"
#include "operator_client/rollout_progress.h"
#include "operator_client/status_text.h"
