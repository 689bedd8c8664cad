#pragma once

/** Umbrella header of the entry module: the entry daemon and its settings. */

#include "entry/entry_daemon.h"
#include "entry/entry_settings.h"
