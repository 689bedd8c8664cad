#include "teams/rate_allowance.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

/** Submits jobs at a constant rate. Returns how many of them are within the allowance. */
int countWithin(rate_allowance &allowance, double jobsPerSecond, duration length)
{
    int within = 0;
    const auto jobs = static_cast<int>(jobsPerSecond * toSeconds(length));
    for (int job = 0; job < jobs; ++job) {
        const time_point now = start + length * job / jobs;
        if (allowance.isAvailable(now)) {
            ++within;
            allowance.take(now);
        }
    }
    return within;
}

} // namespace

// Load: one team sends seven times its usual for six seconds. Guards against a team that gains by sending more than its rate.
TEST_CASE("a team above its rate gets its rate and one second of jobs more", "[teams]")
{
    rate_allowance allowance;
    allowance.setRate(10.0, start);
    const int within = countWithin(allowance, 70.0, 6s);
    CHECK(within >= 60);
    CHECK(within <= 60 + 10 + 5 + 1);
}

// Load: a small team that sends several jobs together, and a team that keeps to its rate. Guards against jobs that count as beyond a rate that is kept.
TEST_CASE("a team within its rate is never beyond it", "[teams]")
{
    rate_allowance allowance;
    allowance.setRate(20.0, start);
    CHECK(countWithin(allowance, 19.0, 30s) == 19 * 30);

    rate_allowance small;
    small.setRate(1.0, start);
    for (int job = 0; job < 6; ++job) {
        CHECK(small.isAvailable(start));
        small.take(start);
    }
    CHECK_FALSE(small.isAvailable(start));
    CHECK(small.isAvailable(start + 1s));
}

// Guards against a team without a rate that is limited, and against a configuration that refills the allowance each time that it is published.
TEST_CASE("a rate of zero is no limit, and a new configuration fills no allowance", "[teams]")
{
    rate_allowance unlimited;
    unlimited.setRate(0.0, start);
    CHECK(countWithin(unlimited, 1'000.0, 1s) == 1'000);
    CHECK(unlimited.reserveReturn(start) == duration::zero());

    rate_allowance allowance;
    allowance.setRate(10.0, start);
    for (int job = 0; job < 15; ++job) {
        allowance.take(start);
    }
    for (int version = 0; version < 20; ++version) {
        allowance.setRate(10.0, start);
    }
    CHECK_FALSE(allowance.isAvailable(start));
    allowance.setRate(2.0, start + 10s);
    int left = 0;
    for (; allowance.isAvailable(start + 10s); ++left) {
        allowance.take(start + 10s);
    }
    CHECK(left == 7);
}

// Load: hundreds of refused jobs of one team. Guards against all of them returning together, and against returns that use up the rate of new jobs.
TEST_CASE("the returns of refused jobs are spread over time at half of the rate", "[teams]")
{
    rate_allowance allowance;
    allowance.setRate(10.0, start);
    for (int job = 0; job < 15; ++job) {
        allowance.take(start);
    }
    duration last{};
    for (int job = 1; job <= 50; ++job) {
        const duration delay = allowance.reserveReturn(start);
        CHECK(delay - last >= 200ms);
        last = delay;
    }
    CHECK(last >= 10s);
    for (int job = 0; job < 500; ++job) {
        CHECK(allowance.reserveReturn(start) <= 30s);
    }
}
