#pragma once

namespace parsleyglade {

/** Settings of retry_budget. */
struct retry_budget_settings
{
    double share = 0.1; /**< Retries earned by each first attempt, 0 to 1. */
    double maximumKept = 10.0; /**< Maximum number of unused retries that accumulate. */
};

} // namespace parsleyglade
