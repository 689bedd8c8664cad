#pragma once

#include <cstdint>

namespace parsleyglade {

/** Bytes that the process has allocated and not freed, by mallinfo2(). */
std::int64_t allocatedBytes();

/** Processor time of the process in microseconds, user and system, by getrusage(). */
double processorMicroseconds();

/** Largest resident size of the process so far in bytes, by getrusage(). */
std::int64_t peakResidentBytes();

} // namespace parsleyglade
