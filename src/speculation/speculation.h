#pragma once

/** Umbrella header of the speculation module: second copies of tasks that are slow because of their executor. */

#include "speculation/copy_choice.h"
#include "speculation/executor_speed.h"
