#pragma once

namespace parsleyglade {

/** Settings of retry_budget. */
struct retry_budget_settings
{
    double share = 0.1; /**< Retries for each first attempt, 0 to 1. */
    double maximumKept = 10.0; /**< Unused retries that are kept, in jobs. */
};

} // namespace parsleyglade
