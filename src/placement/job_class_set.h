#pragma once

#include "placement/job_class.h"

namespace parsleyglade {

/** The classes of jobs for which a slot is free. */
struct job_class_set
{
    bool shortJobs = true;
    bool longJobs = true;

    bool contains(job_class jobClass) const
    {
        return jobClass == job_class::short_job ? shortJobs : longJobs;
    }

    bool isEmpty() const
    {
        return !shortJobs && !longJobs;
    }
};

} // namespace parsleyglade
