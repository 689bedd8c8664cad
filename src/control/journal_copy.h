#pragma once

#include "core/time_types.h"
#include "scheduler/scheduler.h"

#include <cstdint>
#include <memory>

namespace parsleyglade {

/** How much of the journal was read, and how long that took. */
struct journal_load
{
    std::size_t pages = 0; /**< Pages of the newest records. Zero when only records that follow a copy were read. */
    std::size_t records = 0;
    std::size_t bytes = 0; /**< Of the values. */
    duration elapsed{}; /**< From the first request to the last response, without waits for further records. */
};

/** A scheduler with the state of the journal up to an offset. */
struct journal_copy
{
    std::unique_ptr<scheduler> state;
    std::uint64_t end = 0; /**< Offset of the next record to restore. */
    bool hasNoWriter = true; /**< The journal is empty, or the last writer has resigned. */
};

} // namespace parsleyglade
