#pragma once

/** Umbrella header of the checks module: findings in a configuration before it is sent, and its differences from the one in force. */

#include "checks/check_report.h"
#include "checks/configuration_check.h"
#include "checks/configuration_difference.h"
