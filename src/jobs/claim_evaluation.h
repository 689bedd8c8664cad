#pragma once

#include "core/result_code.h"
#include "jobs/claim_record.h"
#include "wire/wire.h"

#include <optional>
#include <string>

namespace parsleyglade {

/** What the folded state says to a claim request or query. */
enum class claim_evaluation {
    holds, /**< The request's own attempt holds the claim. */
    open, /**< Another attempt holds an open claim. */
    completed,
    unknown,
    reused, /**< The key belongs to another request of the same caller. */
    expired,
    claimable, /**< No record, or released. */
    lost, /**< The request's attempt is void and nobody holds the claim. */
    exhausted, /**< Released too often; the key accepts no claim any more. */
};

/** Judges a request by the record of its job, which may be null. Deterministic; only the log's order decides. */
claim_evaluation evaluateClaim(const claim_record *record, bool isExpired, const wire::claim_request &request);

/** The reply that a judgement leads to without asking the log; nothing for open and claimable. */
std::optional<wire::claim_reply> replyFor(claim_evaluation evaluation, const claim_record *record);

/** A reply with a verdict and the reason for it. */
wire::claim_reply makeReply(wire::claim_verdict::type verdict, result_code code, std::string reason);

} // namespace parsleyglade
