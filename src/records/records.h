#pragma once

/** Umbrella header of the configuration part of the records module, which replays log records to a state. */

#include "records/configuration_counters.h"
#include "records/configuration_fold.h"
#include "records/configuration_fold_status.h"
#include "records/configuration_record_copy.h"
#include "records/proposal_result.h"
