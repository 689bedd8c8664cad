#pragma once

#include "placement/job_class.h"

namespace parsleyglade {

/** Set of job classes, used for the classes for which a slot is free. Contains both by default. */
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
