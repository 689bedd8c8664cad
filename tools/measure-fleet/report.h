#pragma once

#include "cycle_run.h"
#include "plan_time.h"
#include "spare_run.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** Everything that one call of the program measured. */
struct measurement
{
    std::vector<spare_result> spare;
    std::vector<cycle_result> cycles;
    std::vector<plan_time_result> plans;
};

/** Returns tables with the mean, minimum and maximum over the seeds, and the measured values beside their targets. */
std::string toText(const measurement &results);

/** Returns the results of every run as JSON. */
std::string toJson(const measurement &results);

/** Returns one CSV line for each run; the first column is the kind of the run. */
std::string toCsv(const measurement &results);

} // namespace parsleyglade
