#pragma once

#include "linear_fit.h"
#include "measurement.h"

namespace parsleyglade {

/**
 * Runs a measurement at each of its sizes and fits a line through the results.
 *
 * @param minimumMilliseconds Each operation is repeated until it has used this much processor time. The result is the least of three such means, because
 *                            other load on the machine can only add time.
 * @return First the memory of the state in bytes, then for each operation its processor time in microseconds and, if it has any, its output in bytes.
 */
std::vector<linear_fit> measure(measurement &measured, double minimumMilliseconds);

} // namespace parsleyglade
