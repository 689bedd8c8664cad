#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

enum class wave_state : std::uint8_t {
    planned,
    running,
    paused,
    aborted,
    finished,
};

/** A maintenance wave: its plan, state and progress. */
struct maintenance_wave
{
    wave_state state = wave_state::planned;
    std::int64_t version = 0; /**< Rises with each accepted plan, start, pause and abort; those records name it. */
    std::vector<std::vector<std::string>> batches; /**< Hosts in the order planned; one batch may be out at a time. */
    std::set<std::string> done;
    std::string author;
    std::string reason; /**< Why it was paused or aborted. */
    std::string changedBy; /**< Author of the last start, pause or abort. */
    std::int64_t changedWallMilliseconds = 0; /**< When that was written. */
    log_offset planned = 0; /**< Offset of the first plan. */

    bool isOpen() const
    {
        return state == wave_state::planned || state == wave_state::running || state == wave_state::paused;
    }

    friend bool operator==(const maintenance_wave &, const maintenance_wave &) = default;
};

} // namespace parsleyglade
