#include "reports/job_end.h"

namespace parsleyglade {

namespace {

constexpr int firstServerErrorStatus = 500;

/** Returns the cause, replaced by maintenance if the job ended during maintenance. */
end_cause spendingCause(const job_end &end, end_cause cause)
{
    return end.duringMaintenance ? end_cause::maintenance : cause;
}

} // namespace

std::optional<end_cause> classifyEnd(const job_end &end)
{
    switch (end.code) {
    case result_code::ok:
        if (end.httpStatus >= firstServerErrorStatus) {
            return spendingCause(end, end_cause::failed);
        }
        return end.wasLate ? end_cause::late : end_cause::good;

    case result_code::queue_full:
    case result_code::deadline_unreachable:
    case result_code::no_endpoint:
    case result_code::log_unavailable:
    case result_code::records_full:
    case result_code::shutting_down:
    case result_code::endpoint_refused:
    case result_code::coordinator_unreachable:
    case result_code::internal_error:
        return spendingCause(end, end_cause::refused);

    case result_code::answer_cut:
    case result_code::answer_timeout:
    case result_code::dispatcher_lost:
    case result_code::connection_lost:
        return end_cause::outcome_unknown;

    default:
        return std::nullopt;
    }
}

} // namespace parsleyglade
