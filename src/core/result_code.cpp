#include "core/result_code.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace parsleyglade {

namespace {

constexpr std::array table{
    result_code_row{result_code::ok, "ok", 200, "Nothing to do."},

    result_code_row{result_code::malformed_json, "malformed_json", 400, "Correct the JSON syntax at the reported byte."},
    result_code_row{result_code::unknown_key, "unknown_key", 400, "Remove the key or correct its spelling."},
    result_code_row{result_code::missing_key, "missing_key", 400, "Add the key."},
    result_code_row{result_code::wrong_type, "wrong_type", 400, "Give a value of the stated type."},
    result_code_row{result_code::out_of_range, "out_of_range", 400, "Give a value within the stated range."},
    result_code_row{result_code::unknown_pool, "unknown_pool", 400, "Name a pool of the pools table, or add the pool."},
    result_code_row{result_code::host_in_two_pools, "host_in_two_pools", 400, "List the host in one pool only."},
    result_code_row{result_code::duplicate_address, "duplicate_address", 400, "Give each host its own address."},
    result_code_row{result_code::empty_pool, "empty_pool", 400, "List at least one host, or remove the pool and its routes."},
    result_code_row{result_code::duplicate_name, "duplicate_name", 400, "Give each entry its own name, and each route its own method and path."},
    result_code_row{result_code::table_too_large, "table_too_large", 413, "Keep each table below the size limit."},
    result_code_row{result_code::invalid_value, "invalid_value", 400, "Give a value of the stated form."},
    result_code_row{result_code::revision_conflict, "revision_conflict", 409, "Read the current revision, merge the shown differences and publish again."},
    result_code_row{result_code::duplicate_key, "duplicate_key", 400, "Keep one of the repeated keys."},

    result_code_row{result_code::unknown_route, "unknown_route", 404, "Use a method and path of the routes table."},
    result_code_row{result_code::invalid_request, "invalid_request", 400, "Correct the request."},
    result_code_row{result_code::invalid_key, "invalid_key", 400, "Send a UUID version 7 as Idempotency-Key."},
    result_code_row{result_code::key_required, "key_required", 400, "Send an Idempotency-Key with a non-idempotent job."},
    result_code_row{result_code::key_reused, "key_reused", 422, "Use a new key for a different request."},
    result_code_row{result_code::not_authenticated, "not_authenticated", 401, "Send a valid bearer token."},
    result_code_row{result_code::body_too_large, "body_too_large", 413, "Send a smaller body."},
    result_code_row{result_code::header_too_large, "header_too_large", 431, "Send fewer or shorter headers."},
    result_code_row{result_code::request_timeout, "request_timeout", 408, "Send the whole request within the time limit."},
    result_code_row{result_code::queue_full, "queue_full", 503, "Retry after the stated time."},
    result_code_row{result_code::deadline_unreachable, "deadline_unreachable", 503, "Retry after the stated time, or allow a later deadline."},
    result_code_row{result_code::caller_over_limit, "caller_over_limit", 429, "Retry after the stated time and send fewer requests at once."},
    result_code_row{result_code::no_endpoint, "no_endpoint", 503, "Retry after the stated time."},
    result_code_row{result_code::log_unavailable, "log_unavailable", 503, "Retry after the stated time with the same key."},
    result_code_row{result_code::records_full, "records_full", 503, "Retry after the stated time with the same key."},
    result_code_row{result_code::shutting_down, "shutting_down", 503, "Retry at once; another entry host will answer."},
    result_code_row{result_code::cancelled, "cancelled", 409, "The job was cancelled before it was sent."},
    result_code_row{result_code::endpoint_refused, "endpoint_refused", 503, "Retry after the stated time."},
    result_code_row{result_code::key_in_future, "key_in_future", 400, "Correct the caller's clock; the key's time lies in the future."},
    result_code_row{result_code::coordinator_unreachable, "coordinator_unreachable", 503, "Retry after the stated time with the same key."},
    result_code_row{result_code::method_not_allowed, "method_not_allowed", 405, "Use a method that the path allows."},
    result_code_row{result_code::job_not_found, "job_not_found", 404, "No job of this caller with this key is known."},
    result_code_row{result_code::too_many_connections, "too_many_connections", 503, "Close idle connections and retry after the stated time."},

    result_code_row{result_code::not_configured, "not_configured", 503, "Retry after the stated time; the entry host has no tables yet."},

    result_code_row{result_code::answer_cut, "answer_cut", 502, "Check whether the job ran; a retry with the same key does not run it again."},
    result_code_row{result_code::answer_timeout, "answer_timeout", 504, "Check whether the job ran; a retry with the same key does not run it again."},
    result_code_row{result_code::dispatcher_lost, "dispatcher_lost", 502, "Check whether the job ran; a retry with the same key does not run it again."},
    result_code_row{result_code::key_expired, "key_expired", 410, "Check whether the job ran; use a new key for a new job."},
    result_code_row{result_code::connection_lost, "connection_lost", 502, "Check whether the job ran; a retry with the same key does not run it again."},

    result_code_row{result_code::still_running, "still_running", 409, "Ask again after the stated time with the same key."},
    result_code_row{result_code::answer_not_kept, "answer_not_kept", 410, "The job ran; fetch its result from the service itself."},

    result_code_row{result_code::log_append_unknown, "log_append_unknown", 503, "Read the log to learn whether the record was appended."},
    result_code_row{result_code::log_trimmed, "log_trimmed", 503, "Start again from the newest snapshot."},
    result_code_row{result_code::corrupt_record, "corrupt_record", 500, "Report the stream and offset; every process skips the record."},
    result_code_row{result_code::host_list_unavailable, "host_list_unavailable", 503, "Check the platform's host list; the last list stays in use."},
    result_code_row{result_code::peer_unreachable, "peer_unreachable", 503, "Check the entry host named in the answer."},
    result_code_row{result_code::peer_not_authenticated, "peer_not_authenticated", 401, "Give all entry hosts the same shared key."},
    result_code_row{result_code::internal_error, "internal_error", 500, "Report the request id with the logs."},

    result_code_row{result_code::unknown_host, "unknown_host", 404, "Name a host, rack or data centre of the pools table."},
    result_code_row{result_code::move_conflict, "move_conflict", 409, "Another decision about the host came first; read the status again."},
    result_code_row{result_code::budget_exceeded, "budget_exceeded", 409, "Wait until more hosts are healthy, or name fewer hosts."},
    result_code_row{result_code::wave_not_found, "wave_not_found", 404, "Name a wave shown by the status."},
    result_code_row{result_code::wave_state, "wave_state", 409, "The wave's state does not allow this; read the status."},
    result_code_row{result_code::drain_not_found, "drain_not_found", 404, "Name a drain shown by the status."},
};

}

std::span<const result_code_row> resultCodeTable()
{
    return table;
}

const result_code_row &describe(result_code code)
{
    const auto *found = std::find_if(table.begin(), table.end(), [code](const result_code_row &row) { return row.code == code; });
    assert(found != table.end());
    return *found;
}

std::string_view name(result_code code)
{
    return describe(code).name;
}

std::optional<result_code> resultCodeFromNumber(int number)
{
    for (const result_code_row &row : table) {
        if (static_cast<int>(row.code) == number) {
            return row.code;
        }
    }

    return std::nullopt;
}

} // namespace parsleyglade
