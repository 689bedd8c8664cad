#include "placement/placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against use of a declared time, wrong by a factor of up to 10, after the actual run time was observed.
TEST_CASE("an observed run time replaces the declared one")
{
    rc::prop("the estimate equals the observed time for any declared time", [] {
        const duration actual{*rc::gen::inRange<std::int64_t>(1'000, 100'000'000)};
        const auto percent = *rc::gen::inRange<std::int64_t>(10, 1'001);
        const duration declared{actual.count() * percent / 100};
        run_time_estimator estimator;
        const time_point now{1s};

        RC_ASSERT(estimator.estimate("route", declared, now).expected == declared);
        estimator.observe("route", actual, now);
        const run_time_estimate observedEstimate = estimator.estimate("route", declared, now + 3s);
        RC_ASSERT(std::abs((observedEstimate.expected - actual).count()) <= 1);
        RC_ASSERT(observedEstimate.age == 3s);
        RC_ASSERT(observedEstimate.observations == 1U);
    });
}

// Guards against a short route that is classified as long because of a few long jobs, and against a long route classified as short.
TEST_CASE("classes are relative to the pool's typical run time")
{
    run_time_estimator estimator;
    time_point now{1s};
    for (int index = 0; index < 2'000; ++index) {
        now += 10ms;
        estimator.observe("usual", index % 50 == 0 ? 10s : 200ms, now);
    }
    estimator.observeRunning("watch", 4s, now);

    CHECK(estimator.estimate("usual", 20s, now).jobClass == job_class::short_job);
    CHECK(estimator.estimate("watch", 100ms, now).jobClass == job_class::long_job);
    CHECK(estimator.estimate("new", 200ms, now).jobClass == job_class::short_job);
    CHECK(estimator.classOf(3s) == job_class::long_job);
    CHECK(estimator.meanRunTime(job_class::long_job) > 20 * estimator.meanRunTime(job_class::short_job));
}

// Guards against estimates that old observations dominate.
TEST_CASE("observations lose weight with age")
{
    const auto estimateAfter = [](duration interval) {
        run_time_estimator estimator;
        time_point now{1s};
        for (int index = 0; index < 20; ++index) {
            estimator.observe("route", 100ms, now);
        }
        estimator.observe("route", 200ms, now + interval);
        return estimator.estimate("route", 1s, now + interval).expected;
    };

    CHECK(estimateAfter(1s) < 110ms);
    CHECK(estimateAfter(2h) > 190ms);
}
