#pragma once

#include "decision_timing.h"
#include "measurement.h"

#include <iosfwd>
#include <vector>

namespace parsleyglade {

/** Everything that one call of the program measured. */
struct report
{
    measurement_plan plan;
    std::vector<policy_measurement> measurements;
    std::vector<decision_timing> timings;
};

/** Writes one table for each deployment, with the mean, minimum and maximum over the seeds, and the decision times. */
void writeText(const report &results, std::ostream &output);

/** Writes a JSON document that also has the value of each seed. */
void writeJson(const report &results, std::ostream &output);

/**
 * Writes CSV with the columns deployment, policy, measure, unit, mean, least and greatest.
 *
 * Rows of decision times have the size in the deployment column and the decision in the policy column.
 */
void writeCsv(const report &results, std::ostream &output);

} // namespace parsleyglade
