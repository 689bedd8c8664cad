#pragma once

#include "measurement.h"

#include <memory>

namespace parsleyglade {

/** Registry of all measurements of the program. */
class measurement_registry
{
public:
    /** Adds a measurement to the registry. To be defined as a namespace-scope constant, which adds it before main() starts. */
    struct registration
    {
        explicit registration(std::unique_ptr<measurement> added);
    };

    /** The measurements in the order of their names, owned by the registry. */
    static std::vector<std::unique_ptr<measurement>> &all();
};

} // namespace parsleyglade
