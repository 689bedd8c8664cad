#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace parsleyglade {

/** Known outcome of an append. */
enum class append_status {
    appended, /**< The record is in the log at the given offset. */
    refused, /**< The record is not in the log and never will be. */
    unknown, /**< The record may be in the log now or appear later; only a read can tell. */
};

/** Result of log_client::append. */
struct append_result
{
    append_status status = append_status::unknown;
    log_offset offset = 0; /**< Offset of the record; valid when appended. */
    std::string reason; /**< Why the append is refused or unknown; empty when appended. */
    duration retryAfter{}; /**< Delay that the log requests before a retry; zero when it requested none. */
};

/** One record of a stream. */
struct log_record
{
    log_offset offset = 0;
    std::string payload;
};

/** Outcome of a read. */
enum class read_status {
    ok,
    trimmed, /**< The requested offset has been removed by retention; the stream now starts at read_result::earliest. */
    unavailable,
};

/** Result of log_client::read. */
struct read_result
{
    read_status status = read_status::unavailable;
    std::vector<log_record> records; /**< In order of offset, contiguous. */
    log_offset earliest = 0; /**< Offset of the oldest retained record; valid unless unavailable. */
    log_offset head = 0; /**< Offset that the next record will get according to this replica; valid unless unavailable. */
    std::string reason; /**< Why there are no records when trimmed or unavailable. */
};

/** Client of the platform's append-only log. Each callback runs once, on the event loop, and never before the call has returned. */
class log_client
{
public:
    log_client() = default;
    log_client(const log_client &) = delete;
    log_client &operator=(const log_client &) = delete;
    virtual ~log_client() = default;

    /** Appends one record to a stream. A lost or late response is reported as unknown. */
    virtual void append(const std::string &stream, std::string payload, std::function<void(append_result)> done) = 0;

    /** Reads records from the given offset on. When there are none yet, the log waits for the first one up to the given time. */
    virtual void read(const std::string &stream, log_offset from, std::size_t maximumRecords, duration wait, std::function<void(read_result)> done) = 0;
};

} // namespace parsleyglade
