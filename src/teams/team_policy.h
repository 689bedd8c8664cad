#pragma once

#include "wire/wire.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** Configuration of a team: by which keys its calls are recognised, and what it may use. */
struct team_policy
{
    std::string name;
    std::vector<std::string> keyDigests; /**< Of its API keys; @see digestOfKey() */
    int priority = 0; /**< 0 is the highest. Decides between teams with equal shares. */
    double weight = 0.0; /**< Share of a full pool relative to other teams, and jobs a second that the team may submit; 0: share of 1, no limit of the rate. */
    resources cap; /**< What its tasks may use on all executors together; 0 for no limit. */
};

} // namespace parsleyglade
