#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"
#include "wire/wire.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleyglade {

/** Names a held request or report; chosen by the owner of the coordinator, never used twice. */
enum class reply_handle : std::uint64_t {
};

/** Append the bytes to the coordinator's stream and give the result to claim_coordinator::appendCompleted. */
struct append_action
{
    std::string payload;
};

/** Read the coordinator's stream without waiting for new records and give the result to claim_coordinator::readCompleted. */
struct read_action
{
    log_offset from = 0;
    std::size_t maximumRecords = 0;
};

/** Answer a claim request or query. */
struct reply_action
{
    reply_handle handle{};
    wire::claim_reply reply;
};

/** Answer a result report. When it isn't recorded, the dispatcher repeats it. */
struct acknowledge_action
{
    reply_handle handle{};
    bool isRecorded = false;
};

/** What the owner of a coordinator does next. */
using coordinator_action = std::variant<append_action, read_action, reply_action, acknowledge_action>;

/** Actions in the order in which they are to be done. */
using coordinator_actions = std::vector<coordinator_action>;

/** Result of an append_action. */
struct append_response
{
    enum class kind {
        appended, /**< The record is in the log at the given offset. */
        refused, /**< The record is certainly not in the log and never will be. */
        unknown, /**< The record may be in the log, now or later. */
    };

    kind result = kind::unknown;
    log_offset offset = 0; /**< Valid when appended. */
    duration retryAfter{}; /**< How long the log asks to wait; zero when it did not say. */
};

/** A record of the stream as it was read. */
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
        trimmed, /**< The requested offset has been removed by retention; earliest says where the stream starts. */
        unavailable,
    };

    kind result = kind::unavailable;
    std::vector<stream_record> records; /**< In order of offset, contiguous. */
    log_offset earliest = 0;
    log_offset head = 0; /**< Offset that the next record will get, as the replica knows it. */
};

/** Both times of one moment, as the timer service gives them. */
struct clock_reading
{
    time_point now{};
    wall_time wall{};
};

} // namespace parsleyglade
