#include "placement/placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against retries that multiply the load of a failing pool, and against a retry of a non-idempotent job that may have started.
TEST_CASE("retries stay within their budget and respect idempotency")
{
    rc::prop("in any order of attempts", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        retry_budget budget;
        int firstAttempts = 0;
        int retries = 0;
        for (int step = 0; step < 1'000; ++step) {
            if (random() % 3 != 0) {
                budget.recordFirstAttempt();
                firstAttempts += 1;
                continue;
            }
            const bool isIdempotent = random() % 2 == 0;
            const auto evidence = random() % 2 == 0 ? attempt_evidence::certainly_not_started : attempt_evidence::may_have_started;
            const bool allowed = budget.tryRetry(isIdempotent, evidence);
            RC_ASSERT(!allowed || isIdempotent || evidence == attempt_evidence::certainly_not_started);
            retries += allowed ? 1 : 0;
            RC_ASSERT(10 * retries <= firstAttempts);
        }
        RC_ASSERT(retries > 50);
    });
}

// Guards against refused callers that all retry at the same time, or that retry as often under overload as without it.
TEST_CASE("retry times are randomised and grow with the excess load")
{
    std::mt19937_64 random(7);
    const retry_after_policy policy;
    const auto meanOf = [&](double excess) {
        duration sum{};
        for (int index = 0; index < 1'000; ++index) {
            const duration time = policy.next(excess, random);
            CHECK(time > 0s);
            CHECK(time <= 60s);
            sum += time;
        }
        return sum / 1'000;
    };

    CHECK(meanOf(0.0) > 900ms);
    CHECK(meanOf(0.0) < 1100ms);
    CHECK(meanOf(9.0) > 9s);
    CHECK(meanOf(1000.0) > 30s);
    CHECK(policy.next(1.0, random) != policy.next(1.0, random));
}
