#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** What the comparison of answers with executions found. A count other than zero is a fault, except for keys and executions. */
struct oracle_report
{
    std::uint64_t keys = 0; /**< Keys sent. */
    std::uint64_t executions = 0; /**< Executions of these keys. */
    std::uint64_t executedTwice = 0; /**< Keys executed more than once although they may not be. */
    std::uint64_t completedNotExecuted = 0; /**< Keys answered completed that no endpoint executed. */
    std::uint64_t notRunExecuted = 0; /**< Keys answered not-run last that an endpoint executed. */
    std::uint64_t unreachableEndpoints = 0; /**< Endpoints whose counts are missing, so that nothing above is certain. */
    std::vector<std::string> examples;

    bool isClean() const
    {
        return executedTwice + completedNotExecuted + notRunExecuted + unreachableEndpoints == 0;
    }
};

} // namespace parsleyglade
