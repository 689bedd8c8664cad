#pragma once

#include "core/time_types.h"
#include "scheduler/run_end.h"
#include "scheduler/task_id.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** Which boot of which executor an order is for, and the right to give it. */
struct order_target
{
    std::string executor;
    std::string address; /**< IP number and port. */
    std::int64_t fence = 0; /**< Fencing token of the leader; an executor obeys none lower than it has seen. */
};

/** Starts one run of a task. */
struct start_order
{
    order_target target;
    task_id task;
    int run = 0;
    std::string payload;
    std::string checkpoint; /**< Empty to start from the beginning. */
    std::string ticket; /**< Permission of the placement advice; empty where none is needed. */
    std::int64_t leaseEnd = 0; /**< On the executor's clock, milliseconds; extends the lease of all its runs. */
};

/** Stops one run of a task, also one that has not arrived yet. */
struct stop_order
{
    order_target target;
    task_id task;
    int run = 0;
};

/** Sets the share of its speed that a task may use. */
struct pace_order
{
    order_target target;
    task_id task;
    int run = 0;
    int percent = 100;
};

/** Asks an executor for what runs and what has ended, and extends the lease of its runs. */
struct poll_order
{
    order_target target;
    std::int64_t lastSeen = 0; /**< Ends up to this number are recorded and may be forgotten. */
    std::optional<std::int64_t> leaseEnd; /**< On the executor's clock, milliseconds; nothing leaves the lease as it is. */
    duration wait{}; /**< How long the executor may hold the answer while nothing ends. */
};

/** What became of an order. */
enum class order_result {
    done,
    fenced, /**< The executor has seen a higher fencing token. */
    superseded, /**< This run or a later one was stopped or has ended there. */
    late, /**< The lease in the order is over on the executor's clock. */
    no_room,
    no_ticket,
    unhealthy, /**< Rejected by an unhealthy executor, which has done nothing. */
    other_boot, /**< Another boot of an executor answers at the address. */
    invalid,
    not_sent, /**< No connection could be opened. */
    unanswered, /**< May have been carried out, or may be later. */
};

/** Names by number of the result. */
constexpr std::array<std::string_view, 11> orderResultNames{"done",      "fenced",     "superseded", "late",     "no-room",   "no-ticket",
                                                            "unhealthy", "other-boot", "invalid",    "not-sent", "unanswered"};

constexpr std::string_view name(order_result result)
{
    return orderResultNames.at(static_cast<std::size_t>(result));
}

/** Answer to a start, stop or pace order. */
struct order_response
{
    order_result result = order_result::unanswered;
    std::int64_t clockMilliseconds = 0; /**< The executor's clock; 0 when it was not told. */
};

/** One entry of the list of what runs. */
struct running_entry
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    int progress = 0; /**< Percent done; of a long-running task 100 when it is at work. */
    std::int64_t measured = 0; /**< Response time in ms of a serving task, else millicores in use. */
};

/** One entry of the list of ends. */
struct finished_entry
{
    std::int64_t number = 0; /**< Rises within a boot. */
    task_id task;
    int run = 0;
    run_end end = run_end::failed;
    std::string checkpoint;
};

/** Answer to a look. */
struct poll_response
{
    order_result result = order_result::unanswered;
    std::int64_t clockMilliseconds = 0;
    std::int64_t boot = 0; /**< Start of the executor, milliseconds since the Unix epoch; 0 when it was not told. */
    std::vector<running_entry> running;
    std::vector<finished_entry> finished;
};

} // namespace parsleyglade
