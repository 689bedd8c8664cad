#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace parsleyglade {

/**
 * Result of an operation, as reported in responses and log lines. The numbers and the names in resultCodeTable() are part of the external
 * interface; numbers are never reused.
 */
enum class result_code : std::uint16_t {
    ok = 0,

    // Operator tables and settings.
    malformed_json = 100,
    unknown_key = 101,
    missing_key = 102,
    wrong_type = 103,
    out_of_range = 104,
    unknown_pool = 105,
    host_in_two_pools = 106,
    duplicate_address = 107,
    empty_pool = 108,
    duplicate_name = 109,
    table_too_large = 110,
    invalid_value = 111,
    revision_conflict = 112,
    duplicate_key = 113,

    // The job did not run.
    unknown_route = 200,
    invalid_request = 201,
    invalid_key = 202,
    key_required = 203,
    key_reused = 204,
    not_authenticated = 205,
    body_too_large = 206,
    header_too_large = 207,
    request_timeout = 208,
    queue_full = 209,
    deadline_unreachable = 210,
    caller_over_limit = 211,
    no_endpoint = 212,
    log_unavailable = 213,
    records_full = 214,
    shutting_down = 215,
    cancelled = 216,
    endpoint_refused = 217,
    key_in_future = 218,
    coordinator_unreachable = 219,
    method_not_allowed = 220,
    job_not_found = 221,
    too_many_connections = 222,
    not_configured = 223,

    // The job may have run.
    answer_cut = 300, /**< The response is incomplete or does not match the request. */
    answer_timeout = 301, /**< The response was not complete within the timeout. */
    dispatcher_lost = 302,
    key_expired = 303,
    connection_lost = 304,

    // The job is running, or it ran and its response is no longer available.
    still_running = 400,
    answer_not_kept = 401, /**< The job ran, but its response is no longer retained. */

    // Errors of the platform and of parsleyglade's own processes.
    log_append_unknown = 500,
    log_trimmed = 501,
    corrupt_record = 502,
    host_list_unavailable = 503,
    peer_unreachable = 504,
    peer_not_authenticated = 505,
    internal_error = 506,

    // Fleet decisions.
    unknown_host = 600,
    move_conflict = 601,
    budget_exceeded = 602,
    wave_not_found = 603,
    wave_state = 604,
    drain_not_found = 605,
};

/** Row of the table of result codes: a code's external name, HTTP status and remedy. */
struct result_code_row
{
    result_code code;
    std::string_view name;
    int httpStatus; /**< Status of an HTTP response with this code. */
    std::string_view remedy; /**< What the caller or operator should do, in one line. */
};

/** Returns the rows of all result codes, in ascending order of their numbers. */
std::span<const result_code_row> resultCodeTable();

/** Returns the row of a code. Every enumerator has one. */
const result_code_row &describe(result_code code);

/** Returns the name of a code as it appears in responses and log lines. */
std::string_view name(result_code code);

/** Returns the code with the number, or nothing if there is none. */
std::optional<result_code> resultCodeFromNumber(int number);

} // namespace parsleyglade
