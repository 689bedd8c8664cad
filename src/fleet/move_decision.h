#pragma once

#include <cstdint>
#include <string>

namespace parsleyglade {

/** What a move_decision does to a host's move. */
enum class move_step : std::uint8_t {
    start,
    cancel,
};

/**
 * A record that the move planner proposes to append to the log. If another planner's record precedes it in the log, the fold skips it,
 * because its epoch or its expected planned record is then out of date. @see moveRecords
 */
struct move_decision
{
    move_step step = move_step::start;
    std::string host;
    std::string dataCentre;
    std::string fromPool;
    std::string toPool;
    std::int64_t epoch = 0; /**< The host's move epoch on which the decision is based. */
    /** For a start: id of the last planned record before this plan; 0 stands for the previous start of the same plan. */
    std::int64_t expectedPlannedRecord = 0;

    friend bool operator==(const move_decision &, const move_decision &) = default;
};

} // namespace parsleyglade
