#pragma once

#include "core/identifiers.h"
#include "core/job_key.h"

#include <array>
#include <bit>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleyglade {

/** Identity of a non-idempotent job. Equal keys of different callers denote different jobs. */
struct claim_identity
{
    job_key key; /**< Compared first, so that identities sort by creation time. */
    caller_id caller{};

    friend bool operator==(const claim_identity &, const claim_identity &) = default;

    friend bool operator<(const claim_identity &left, const claim_identity &right)
    {
        return left.sortKey() < right.sortKey();
    }

private:
    using key_bytes = std::array<std::uint8_t, job_key::size>;

    std::pair<key_bytes, caller_id> sortKey() const
    {
        return {std::bit_cast<key_bytes>(key), caller};
    }
};

/** State of a job according to the log. */
enum class claim_state : std::uint8_t {
    open, /**< Claimed; the dispatcher may send the job once. */
    completed, /**< The job ran and its complete response was received. Final. */
    unknown, /**< The job may have run. A later report of the same attempt replaces this state. */
    released, /**< No attempt so far has run the job; it may be claimed again. */
};

/** Name of a state as written to logs. */
std::string_view name(claim_state state);

/** Replayed state of the claim of one job. */
struct claim_record
{
    std::int64_t fingerprint = 0; /**< 0 if only a release is known, since releases carry no fingerprint. */
    incarnation_id dispatcher{};
    attempt_id attempt{}; /**< Attempt that holds the claim; not meaningful when released. */
    std::int32_t team = 0;
    std::int16_t httpStatus = 0; /**< HTTP status of a completed job; for an unknown outcome its result code, or 0. */
    claim_state state = claim_state::released;

    /** Attempts that lost the claim or released it. A later copy of their claim is ignored. */
    std::vector<attempt_id> voidAttempts;

    /** Whether the attempt lost the claim or released it. */
    bool isVoid(attempt_id candidate) const;

    friend bool operator==(const claim_record &, const claim_record &) = default;
};

} // namespace parsleyglade
