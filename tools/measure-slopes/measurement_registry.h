#pragma once

#include "measurement.h"

#include <memory>

namespace parsleyglade {

/** Every measurement of the program. */
class measurement_registry
{
public:
    /** Adds a measurement when a program starts. */
    struct registration
    {
        explicit registration(std::unique_ptr<measurement> added);
    };

    /** The measurements, by name. */
    static std::vector<std::unique_ptr<measurement>> &all();
};

} // namespace parsleyglade
