#pragma once

/** Umbrella header of the runtime module: event loop, timers and logging. */

#include "runtime/bulk_transfer.h"
#include "runtime/event_loop.h"
#include "runtime/logger.h"
#include "runtime/processor_clock.h"
