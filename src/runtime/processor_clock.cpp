#include "runtime/processor_clock.h"

#include <ctime>

namespace parsleyglade {

std::chrono::nanoseconds processorTime()
{
    timespec value{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

} // namespace parsleyglade
