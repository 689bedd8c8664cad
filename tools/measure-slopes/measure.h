#pragma once

#include "linear_fit.h"
#include "measurement.h"

namespace parsleyglade {

/**
 * Runs a measurement at each of its sizes.
 *
 * @param minimumMilliseconds processor time over which each operation is repeated; the least of three such means counts, as other load
 *                            on the machine only ever adds time
 * @return memory of the state in bytes, then for each operation its processor time in microseconds and the bytes it produced, if any
 */
std::vector<linear_fit> measure(measurement &measured, double minimumMilliseconds);

} // namespace parsleyglade
