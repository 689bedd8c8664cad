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

/** Identity of a non-idempotent job: the same key from another caller is another job. */
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

/** What the log says about a job. */
enum class claim_state : std::uint8_t {
    open, /**< Claimed; the dispatcher may send it, once. */
    completed, /**< Ran, with a whole answer. Final. */
    unknown, /**< May have run. A later report of the same attempt replaces it. */
    released, /**< Certainly not run under any attempt so far; may be claimed anew. */
};

/** The name of a state as it appears in logs. */
std::string_view name(claim_state state);

/** The folded claim of one job. */
struct claim_record
{
    std::int64_t fingerprint = 0; /**< 0 when only a release is known, which carries none. */
    incarnation_id dispatcher{};
    attempt_id attempt{}; /**< Holder of the claim; not meaningful when released. */
    std::int32_t team = 0;
    std::int16_t httpStatus = 0; /**< Of a completed job; of an unknown one the result code, or 0. */
    claim_state state = claim_state::released;

    /** Attempts that lost or were released. A later copy of their claim does nothing. */
    std::vector<attempt_id> voidAttempts;

    /** Whether the attempt lost or was released. */
    bool isVoid(attempt_id candidate) const;

    friend bool operator==(const claim_record &, const claim_record &) = default;
};

} // namespace parsleyglade
