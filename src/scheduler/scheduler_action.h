#pragma once

#include "scheduler/executor_orders.h"
#include "wire/wire.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleyglade {

/** Names one call that waits for its answer. */
using call_token = std::uint64_t;

/** The answer to a caller's submission, query or cancellation. */
struct call_response
{
    call_token token = 0;
    wire::work_reply reply;
};

/** A decision to be logged: what was decided about which job, and the inputs that decided it. */
struct decision_entry
{
    std::string decision;
    std::string job;
    std::string task; /**< Empty when the decision is not about one task. */
    std::string executor; /**< Empty when none is concerned. */
    std::string host; /**< Empty when the decision is not about a host. */
    std::string inputs; /**< key=value pairs. */
};

/** What the scheduler wants done. */
using scheduler_action = std::variant<start_order, stop_order, pace_order, call_response, decision_entry>;

/** One record of a batch: the newest value of a key. */
struct journal_entry
{
    std::string key;
    std::string value; /**< Empty to remove the key. */
};

/** Records that the journal takes all or nothing. */
struct journal_batch
{
    std::uint64_t number = 0;
    std::vector<journal_entry> entries;
};

} // namespace parsleyglade
