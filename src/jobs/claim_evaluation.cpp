#include "jobs/claim_evaluation.h"

#include "jobs/claim_fold.h"

namespace parsleyglade {

namespace {

wire::claim_reply unknownReply(const claim_record &record)
{
    const auto code = resultCodeFromNumber(record.httpStatus);
    const bool isKnown = code && *code != result_code::ok;
    return makeReply(wire::claim_verdict::outcome_unknown, isKnown ? *code : result_code::dispatcher_lost, "the outcome of the job was recorded as unknown");
}

bool holds(const claim_record &record, const wire::claim_request &request)
{
    return !request.queryOnly && record.attempt == attempt_id{request.claim.attempt} && record.dispatcher == incarnation_id{request.claim.dispatcher};
}

bool isOtherRequest(const claim_record &record, const wire::claim_request &request)
{
    return !request.queryOnly && record.fingerprint != 0 && record.fingerprint != request.claim.fingerprint;
}

} // namespace

claim_evaluation evaluateClaim(const claim_record *record, bool isExpired, const wire::claim_request &request)
{
    if (isExpired) {
        return claim_evaluation::expired;
    }
    if (record == nullptr) {
        return claim_evaluation::claimable;
    }
    if (isOtherRequest(*record, request)) {
        return claim_evaluation::reused;
    }

    switch (record->state) {
    case claim_state::completed:
        return claim_evaluation::completed;
    case claim_state::open:
        return holds(*record, request) ? claim_evaluation::holds : claim_evaluation::open;
    case claim_state::unknown:
        return holds(*record, request) ? claim_evaluation::holds : claim_evaluation::unknown;
    case claim_state::released:
        break;
    }

    if (request.queryOnly) {
        return claim_evaluation::claimable;
    }
    if (record->isVoid(attempt_id{request.claim.attempt})) {
        return claim_evaluation::lost;
    }
    return record->voidAttempts.size() < claim_fold::maximumVoidAttempts ? claim_evaluation::claimable : claim_evaluation::exhausted;
}

std::optional<wire::claim_reply> replyFor(claim_evaluation evaluation, const claim_record *record)
{
    wire::claim_reply reply;
    switch (evaluation) {
    case claim_evaluation::open:
    case claim_evaluation::claimable:
        return std::nullopt;
    case claim_evaluation::holds:
        reply = makeReply(wire::claim_verdict::granted, result_code::ok, {});
        break;
    case claim_evaluation::completed:
        reply = makeReply(wire::claim_verdict::completed, result_code::answer_not_kept, "the job completed, but its response is no longer available");
        reply.httpStatus = record->httpStatus;
        break;
    case claim_evaluation::unknown:
        reply = unknownReply(*record);
        break;
    case claim_evaluation::reused:
        reply = makeReply(wire::claim_verdict::key_reused, result_code::key_reused, "the key was already used for a different request of this caller");
        break;
    case claim_evaluation::expired:
        reply = makeReply(wire::claim_verdict::key_expired, result_code::key_expired, "the key is older than the deduplication window");
        break;
    case claim_evaluation::lost:
        reply = makeReply(wire::claim_verdict::refused, result_code::log_unavailable, "another attempt held the claim and has released it");
        break;
    case claim_evaluation::exhausted:
        reply = makeReply(wire::claim_verdict::refused, result_code::records_full, "the key was claimed and released too often; use a new key");
        break;
    }

    if (record != nullptr) {
        reply.dispatcher = static_cast<std::int64_t>(record->dispatcher);
        reply.attempt = static_cast<std::int64_t>(record->attempt);
    }
    return reply;
}

wire::claim_reply makeReply(wire::claim_verdict::type verdict, result_code code, std::string reason)
{
    wire::claim_reply reply;
    reply.verdict = verdict;
    reply.code = static_cast<std::int32_t>(code);
    reply.reason = std::move(reason);
    return reply;
}

} // namespace parsleyglade
