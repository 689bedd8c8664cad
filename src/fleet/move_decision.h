#pragma once

#include <cstdint>
#include <string>

namespace parsleyglade {

enum class move_step : std::uint8_t {
    start,
    cancel,
};

/** A record that the move planner wants appended. Its epoch and the planned record that it follows make it void if another planner was first. @see moveRecords
 */
struct move_decision
{
    move_step step = move_step::start;
    std::string host;
    std::string dataCentre;
    std::string fromPool;
    std::string toPool;
    std::int64_t epoch = 0; /**< Move epoch that the decision is based on. */
    std::int64_t follows = 0; /**< For a start, the planned record that it follows; 0 is the start before it in the same plan. */

    friend bool operator==(const move_decision &, const move_decision &) = default;
};

} // namespace parsleyglade
