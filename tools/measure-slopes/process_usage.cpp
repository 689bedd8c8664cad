#include "process_usage.h"

#include <malloc.h>
#include <sys/resource.h>

namespace parsleyglade {

namespace {

rusage currentUsage()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return usage;
}

double toMicroseconds(const timeval &time)
{
    constexpr double microsecondsPerSecond = 1e6;
    return static_cast<double>(time.tv_sec) * microsecondsPerSecond + static_cast<double>(time.tv_usec);
}

} // namespace

std::int64_t allocatedBytes()
{
    const auto information = ::mallinfo2();
    return static_cast<std::int64_t>(information.uordblks + information.hblkhd);
}

double processorMicroseconds()
{
    const rusage usage = currentUsage();
    return toMicroseconds(usage.ru_utime) + toMicroseconds(usage.ru_stime);
}

std::int64_t peakResidentBytes()
{
    constexpr std::int64_t bytesPerKibibyte = 1024;
    return currentUsage().ru_maxrss * bytesPerKibibyte;
}

} // namespace parsleyglade
