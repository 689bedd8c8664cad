#pragma once

#include "core/result_code.h"
#include "jobs/claim_record.h"
#include "wire/wire.h"

#include <optional>
#include <string>

namespace parsleyglade {

/** Result of evaluating a claim request or query against the recorded state of its job. */
enum class claim_evaluation {
    holds, /**< The attempt of this request holds the claim. */
    open, /**< Another attempt holds an open claim. */
    completed, /**< The job ran and its response was recorded. */
    unknown, /**< The outcome of the job was recorded as unknown. */
    reused, /**< The caller has used the key for a different request. */
    expired, /**< The key is older than the expiry horizon. */
    claimable, /**< No record exists, or the last claim was released. */
    lost, /**< The attempt of this request is void and no other attempt holds the claim. */
    exhausted, /**< Released too often; the key accepts no further claim. */
};

/** Evaluates a request against the record of its job; null if there is none. The result depends only on the order of the log, not on time. */
claim_evaluation evaluateClaim(const claim_record *record, bool isExpired, const wire::claim_request &request);

/** Returns the reply that needs no further append; nothing for open and claimable. */
std::optional<wire::claim_reply> replyFor(claim_evaluation evaluation, const claim_record *record);

/** Creates a reply from a verdict, a result code and a human-readable reason. */
wire::claim_reply makeReply(wire::claim_verdict::type verdict, result_code code, std::string reason);

} // namespace parsleyglade
