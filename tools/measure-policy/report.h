#pragma once

#include "decision_timing.h"
#include "measurement.h"

#include <iosfwd>
#include <vector>

namespace parsleyglade {

/** Everything one call of the tool measured. */
struct report
{
    measurement_plan plan;
    std::vector<policy_measurement> measurements;
    std::vector<decision_timing> timings;
};

void writeText(const report &results, std::ostream &output);

void writeJson(const report &results, std::ostream &output);

/** Columns: deployment, policy, measure, unit, mean, least, greatest; timings have the size as deployment and the decision as policy. */
void writeCsv(const report &results, std::ostream &output);

} // namespace parsleyglade
