#pragma once

#include "scheduler/decision_entry.h"
#include "scheduler/executor_orders.h"
#include "wire/wire.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleyglade {

/** Identifies a call that waits for its response. Chosen by the owner of the scheduler. */
using call_token = std::uint64_t;

/** Response to a call of a caller. */
struct call_response
{
    call_token token = 0;
    wire::work_reply reply;
};

/** An action for the owner of the scheduler to carry out. */
using scheduler_action = std::variant<start_order, stop_order, pace_order, call_response, decision_entry>;

/** One record of a batch: the new value of a key. */
struct journal_entry
{
    std::string key;
    std::string value; /**< Empty to remove the key. */
};

/** Records that the journal must append atomically. */
struct journal_batch
{
    std::uint64_t number = 0;
    std::vector<journal_entry> entries;
};

} // namespace parsleyglade
