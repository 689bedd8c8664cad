#pragma once

#include <chrono>

namespace parsleyglade {

/** Returns the processor time that the calling thread has used. Differences of two readings are meaningful, a single one is not. */
std::chrono::nanoseconds processorTime();

} // namespace parsleyglade
