#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"
#include "wire/wire.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleyglade {

/** Identifies a pending request or report. Chosen by the owner of the coordinator and never reused. */
enum class reply_handle : std::uint64_t {
};

/** Append the payload to the coordinator's stream and pass the result to claim_coordinator::appendCompleted. */
struct append_action
{
    std::string payload;
};

/** Read the coordinator's stream without waiting for new records and pass the result to claim_coordinator::readCompleted. */
struct read_action
{
    log_offset from = 0;
    std::size_t maximumRecords = 0;
};

/** Reply to a claim request or query. */
struct reply_action
{
    reply_handle handle{};
    wire::claim_reply reply;
};

/** Acknowledge a result report. The dispatcher repeats a report that was not recorded. */
struct acknowledge_action
{
    reply_handle handle{};
    bool isRecorded = false;
};

/** An action that the owner of a coordinator has to perform. */
using coordinator_action = std::variant<append_action, read_action, reply_action, acknowledge_action>;

/** Actions in the order in which they have to be performed. */
using coordinator_actions = std::vector<coordinator_action>;

/** Result of an append_action. */
struct append_response
{
    enum class kind {
        appended, /**< The record is in the log at the given offset. */
        refused, /**< The record is not in the log and never will be. */
        unknown, /**< The record may be in the log or may still be appended. */
    };

    kind result = kind::unknown;
    log_offset offset = 0; /**< Offset of the record; valid only if appended. */
    duration retryAfter{}; /**< Delay requested by the log before the next attempt; zero if none. */
};

/** A record read from the stream. */
struct stream_record
{
    log_offset offset = 0;
    std::string payload;
};

/** Result of a read_action. */
struct read_response
{
    enum class kind {
        ok,
        trimmed, /**< Retention has removed the requested offset; earliest is the first offset left. */
        unavailable, /**< The log could not be read. */
    };

    kind result = kind::unavailable;
    std::vector<stream_record> records; /**< Contiguous, in offset order. */
    log_offset earliest = 0; /**< First offset that retention has left in the stream. */
    log_offset head = 0; /**< Offset of the next record to be appended, as known to the replica that was read. */
};

/** Monotonic and wall-clock time of the same instant. */
struct clock_reading
{
    time_point now{};
    wall_time wall{};
};

} // namespace parsleyglade
