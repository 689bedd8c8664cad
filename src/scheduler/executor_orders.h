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

/** Addressee of an order, and the fencing token that authorises it. */
struct order_target
{
    std::string executor;
    std::string address; /**< IP address and port. */
    std::int64_t fence = 0; /**< Fencing token of the leader. An executor rejects tokens lower than the highest that it has received. */
    time_point validUntil = time_point::max(); /**< When the leadership lease expires under which the order was given. It is not sent afterwards. */
    std::string dataCentre{}; /**< Of the executor; empty if unknown. */
};

/** Order to start one run of a task. Idempotent: a run that is already running is confirmed again. */
struct start_order
{
    order_target target;
    task_id task;
    int run = 0;
    std::string payload;
    std::string checkpoint; /**< Empty to start from the beginning. */
    std::string ticket; /**< Permit issued with the placement advice; empty if the queue needs none. */
    std::int64_t leaseEnd = 0; /**< On the executor's clock, in milliseconds. Extends the lease of all runs on the executor. */
};

/** Order to stop one run of a task. The executor also rejects a start order of that run that arrives afterwards. */
struct stop_order
{
    order_target target;
    task_id task;
    int run = 0;
    bool blocksLateStart = false; /**< The run is over, and a new boot must hear of it before a late start order arrives: not queued behind other orders. */
};

/** Order to limit a running task to a percentage of its full speed. */
struct pace_order
{
    order_target target;
    task_id task;
    int run = 0;
    int percent = 100;
};

/** Requests the running and ended runs of an executor, acknowledges recorded ends, and extends the lease of its runs. */
struct poll_order
{
    order_target target;
    std::int64_t acknowledgedUpTo = 0; /**< Ends up to this number are recorded in the journal; the executor may delete them. */
    std::optional<std::int64_t> leaseEnd; /**< On the executor's clock, in milliseconds. Without a value the lease is not extended. */
    duration wait{}; /**< Long poll: how long the executor may delay the response while no run ends. */
};

/** Result of an order to an executor. */
enum class order_result {
    done, /**< Carried out. */
    fenced, /**< The executor has received a higher fencing token. */
    superseded, /**< This run or a later run of the task was already stopped or has ended on the executor. */
    late, /**< The lease in the order has expired on the executor's clock. */
    insufficient_capacity, /**< The executor lacks the capacity. */
    no_ticket, /**< The placement ticket is missing or not valid. */
    unhealthy, /**< Rejected without effect, because the executor is unhealthy. */
    other_boot, /**< Another executor, or another boot, responds at the address. */
    invalid, /**< The executor rejected the order as invalid. */
    not_sent, /**< The order was not sent for a reason of the sender: the leadership lease had expired, or there were too many connections. */
    unreachable, /**< The order was not sent: the executor accepted no connection, or has not answered an earlier order. */
    unanswered, /**< No response. The order may have been carried out, or may still be. */
};

/** Names of the results, indexed by enum value. */
constexpr std::array<std::string_view, 12> orderResultNames{"done",      "fenced",     "superseded", "late",     "no-room",     "no-ticket",
                                                            "unhealthy", "other-boot", "invalid",    "not-sent", "unreachable", "unanswered"};

constexpr std::string_view name(order_result result)
{
    return orderResultNames.at(static_cast<std::size_t>(result));
}

/** Whether the executor certainly has not received the order. */
constexpr bool isUnsent(order_result result)
{
    return result == order_result::not_sent || result == order_result::unreachable;
}

/** Response to a start, stop or pace order. */
struct order_response
{
    order_result result = order_result::unanswered;
    std::int64_t clockMilliseconds = 0; /**< The executor's steady clock, in milliseconds; 0 if unknown. */
    std::string reason{}; /**< Why the order was not sent, or why there is no response; empty otherwise. */
};

/** A run that the executor reports as running. */
struct running_entry
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    int progress = 0; /**< Progress in percent. A long-running task is at 100 once its start-up is complete. */
    std::int64_t measured = 0; /**< Response time in milliseconds for a serving task, otherwise processor use in millicores. */
};

/** A run that the executor reports as ended. Reported until it is acknowledged. */
struct finished_entry
{
    std::int64_t number = 0; /**< Sequence number, increasing within a boot. */
    task_id task;
    int run = 0;
    run_end end = run_end::failed;
    std::string checkpoint;
};

/** Response to a poll. */
struct poll_response
{
    order_result result = order_result::unanswered;
    std::int64_t clockMilliseconds = 0; /**< The executor's steady clock, in milliseconds; 0 if unknown. */
    std::int64_t boot = 0; /**< Time at which the executor started, in milliseconds since the Unix epoch; 0 if unknown. */
    std::vector<running_entry> running;
    std::vector<finished_entry> finished;
};

} // namespace parsleyglade
