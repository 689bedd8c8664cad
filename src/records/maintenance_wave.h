#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/** State of a maintenance wave. A paused wave may be started again; aborted and finished are final. */
enum class wave_state : std::uint8_t {
    planned,
    running,
    paused,
    aborted,
    finished,
};

/** Plan, state and progress of a maintenance wave, which takes hosts out of service batch by batch. */
struct maintenance_wave
{
    wave_state state = wave_state::planned;
    std::int64_t version = 0; /**< Incremented by each accepted plan, start, pause and abort; these records must state the current one. */
    std::vector<std::vector<std::string>> batches; /**< Hosts by batch in planned order; one batch may be out of service at a time. */
    std::set<std::string> completedHosts; /**< Hosts whose maintenance is complete. */
    std::string author; /**< Author of the first plan. */
    std::string reason; /**< Why the wave was paused or aborted. */
    std::string changedBy; /**< Author of the last start, pause or abort. */
    std::int64_t changedWallMilliseconds = 0; /**< Wall time of that record, in milliseconds since the Unix epoch; of the first plan if there is none. */
    log_offset planOffset = 0; /**< Offset of the record of the first plan. */

    bool isOpen() const
    {
        return state == wave_state::planned || state == wave_state::running || state == wave_state::paused;
    }

    friend bool operator==(const maintenance_wave &, const maintenance_wave &) = default;
};

} // namespace parsleyglade
