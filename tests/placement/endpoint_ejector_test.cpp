#include "placement/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

std::vector<endpoint_view> makePool(std::size_t size, time_point now)
{
    std::vector<endpoint_view> pool;
    for (std::size_t index = 0; index < size; ++index) {
        pool.emplace_back("host-" + std::to_string(index), endpoint_limits{});
        pool.back().probeSucceeded(now);
    }
    return pool;
}

std::size_t countEjected(const std::vector<endpoint_view> &pool, time_point now)
{
    return static_cast<std::size_t>(std::count_if(pool.begin(), pool.end(), [now](const auto &view) { return view.ejection().isEjected(now); }));
}

} // namespace

// Guards against ejection of the whole pool by a fault that all endpoints share, such as a job that always fails.
TEST_CASE("ejection never exceeds its share of the pool")
{
    rc::prop("after every step, also when hosts have left the pool", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        time_point now{1s};
        auto pool = makePool(*rc::gen::inRange<std::size_t>(1, 40), now);
        const endpoint_ejector ejector;
        for (int step = 0; step < 300; ++step) {
            now += duration{random() % 200'000};
            const std::size_t index = random() % pool.size();
            if (random() % 10 == 0) {
                ejector.succeeded(pool[index]);
            } else if (random() % 40 == 0 && pool.size() > 1) {
                pool.pop_back();
                ejector.enforceEjectionLimit(pool, now);
            } else {
                ejector.failed(pool, index, duration{random() % 2'000'000}, 1s, now, random);
            }
            RC_ASSERT(10 * countEjected(pool, now) <= 3 * pool.size());
        }
    });
}

// Guards against an endpoint that fails jobs immediately, therefore has none in flight and attracts all further jobs (a black hole).
TEST_CASE("an endpoint on which every job fails receives few jobs")
{
    const std::size_t poolSize = GENERATE(3, 10); // In a pool of 3 no endpoint may be ejected; the failure share alone must suffice.
    std::mt19937_64 random(7);
    time_point now{1s};
    auto pool = makePool(poolSize, now);
    for (std::size_t index = 1; index < poolSize; ++index) {
        pool[index].jobStarted(job_class::short_job);
        pool[index].jobStarted(job_class::short_job);
    }
    placement_policy policy;
    const endpoint_ejector ejector;
    const placement_request request{job_class::short_job, 0s, {1s, 50s}};

    int failures = 0;
    for (int job = 0; job < 1'000; ++job) {
        now += 10ms;
        for (endpoint_view &endpoint : pool) {
            endpoint.probeSucceeded(now);
        }
        const auto selected = selectEndpoint(policy, pool, request, now, random);
        REQUIRE(selected.hasValue());
        if (*selected == 0) {
            failures += 1;
            ejector.failed(pool, 0, 5ms, 1s, now, random);
        }
    }
    CHECK(failures < 20);
}

// Guards against an ejection that never ends, and against full load on an endpoint before a job has succeeded on it.
TEST_CASE("backoff increases with each ejection and is followed by probation")
{
    std::mt19937_64 random(7);
    time_point now{1s};
    auto pool = makePool(4, now);
    endpoint_ejector ejector;
    duration previous{};
    for (int round = 0; round < 4; ++round) {
        while (!pool[0].ejection().isEjected(now)) {
            ejector.failed(pool, 0, 1ms, 1s, now, random);
        }
        const duration backoff = pool[0].ejection().ejectedUntil - now;
        CHECK(backoff > previous);
        previous = backoff;
        now += backoff;
    }

    pool[0].probeSucceeded(now);
    CHECK(pool[0].acceptsWork(now));
    pool[0].jobStarted(job_class::short_job);
    CHECK_FALSE(pool[0].acceptsWork(now));
    ejector.succeeded(pool[0]);
    CHECK(pool[0].acceptsWork(now));
}
