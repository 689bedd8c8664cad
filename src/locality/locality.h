#pragma once

/** Umbrella header of the locality module: how long a task waits for a place near its data or its group. */

#include "locality/near_wait.h"
#include "locality/rack_forecast.h"
