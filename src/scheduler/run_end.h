#pragma once

#include <array>
#include <string_view>

namespace parsleyglade {

/** How a run ended, as reported by its executor. */
enum class run_end {
    done, /**< Completed successfully. */
    failed,
    stopped, /**< By a stop order. */
    lapsed, /**< The lease of the executor expired. */
    broken, /**< Ended because another member of its gang ended. */
    alone, /**< Ended because the other members of its gang did not start in time. */
};

/** Names of the ends, indexed by enum value. */
constexpr std::array<std::string_view, 6> runEndNames{"done", "failed", "stopped", "lapsed", "broken", "alone"};

constexpr std::string_view name(run_end end)
{
    return runEndNames.at(static_cast<std::size_t>(end));
}

} // namespace parsleyglade
