#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** Result of comparing the received responses with the executions at the endpoints. A count other than zero is a fault, except for keys and executions. */
struct oracle_report
{
    std::uint64_t keys = 0; /**< Keys sent. */
    std::uint64_t executions = 0; /**< Executions of these keys. */
    std::uint64_t executedTwice = 0; /**< Keys executed more than once on a route that is not idempotent. */
    std::uint64_t completedNotExecuted = 0; /**< Keys with a completed response that no endpoint executed. */
    std::uint64_t notRunExecuted = 0; /**< Keys that an endpoint executed although the last response said not-run. */
    std::uint64_t unreachableEndpoints = 0; /**< Endpoints whose counts are missing; if there is one, the counts above are not reliable. */
    std::vector<std::string> examples; /**< Descriptions of some of the faults. */

    /** Whether no fault was found and the counts of all endpoints are known. */
    bool isClean() const
    {
        return executedTwice + completedNotExecuted + notRunExecuted + unreachableEndpoints == 0;
    }
};

} // namespace parsleyglade
