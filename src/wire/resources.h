#pragma once

#include "wire/codec.h"

#include <cstdint>

namespace parsleyglade {

/** Amount of processor, memory and accelerators. */
struct resources
{
    std::int64_t cpuMillicores = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    /** Whether every amount is at most the available one. */
    bool fitsInto(const resources &available) const
    {
        return cpuMillicores <= available.cpuMillicores && memoryMegabytes <= available.memoryMegabytes && accelerators <= available.accelerators;
    }

    resources &operator+=(const resources &other)
    {
        cpuMillicores += other.cpuMillicores;
        memoryMegabytes += other.memoryMegabytes;
        accelerators += other.accelerators;
        return *this;
    }

    resources &operator-=(const resources &other)
    {
        cpuMillicores -= other.cpuMillicores;
        memoryMegabytes -= other.memoryMegabytes;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator-(resources left, const resources &right)
    {
        return left -= right;
    }

    friend bool operator==(const resources &, const resources &) = default;
};

/** Resources that one task of the step uses, also if it fills idle capacity. */
inline resources usedBy(const wire::step_record &step)
{
    return {step.demand.cpuMillicores, step.demand.memoryMegabytes, step.demand.accelerators};
}

/** Resources that one task of the step reserves. A step that fills idle capacity reserves no processor share. */
inline resources reservedBy(const wire::step_record &step)
{
    return {step.fillsIdle ? 0 : step.demand.cpuMillicores, step.demand.memoryMegabytes, step.demand.accelerators};
}

} // namespace parsleyglade
