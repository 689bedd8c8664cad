#pragma once

#include "wire/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** Registry entry that an executor publishes about itself. */
struct executor_description
{
    std::string id; /**< A later boot may reuse it. */
    std::int64_t boot = 0; /**< Time at which the executor started, in milliseconds since the Unix epoch. Identifies the boot. */
    std::string address; /**< IP address and port. */
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    std::int64_t clockMilliseconds = 0; /**< The executor's steady clock, in milliseconds, when it wrote the entry. */
    bool draining = false;

    friend bool operator==(const executor_description &, const executor_description &) = default;
};

} // namespace parsleyglade
