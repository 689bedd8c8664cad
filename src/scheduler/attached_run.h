#pragma once

#include "scheduler/run_key.h"

namespace parsleyglade {

struct scheduled_job;

/** A run in the list of an executor, with its job, which is then not looked up by name. */
struct attached_run : run_key
{
    scheduled_job *job = nullptr; /**< The scheduler keeps a job while an executor has runs of it. */
    bool isInList = false; /**< The list that is being compared with the runs of the executor has it. */
};

} // namespace parsleyglade
