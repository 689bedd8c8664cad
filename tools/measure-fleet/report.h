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

/** Tables with the mean and the spread over the seeds, and the distance from the targets. */
std::string toText(const measurement &results);

/** Every run, as JSON. */
std::string toJson(const measurement &results);

/** One line for each run; the first field tells the kind. */
std::string toCsv(const measurement &results);

} // namespace parsleyglade
