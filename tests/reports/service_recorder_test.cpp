#include "random_events.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against ended jobs that are counted twice or not at all at the boundary between two buckets, in any window.
TEST_CASE("each ended job is counted once in every window that covers it")
{
    rc::prop("for random ended jobs", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const auto ends = randomEnds(random, 1, 400);
        service_recorder recorder("entry-1", incarnation_id{1}, testStart);
        for (const recorded_end &each : ends) {
            recorder.add(each.service, each.end, each.at);
        }

        const wall_time now = ends.back().at;
        for (const service_counts &counts : recorder.document(now).services) {
            for (const burn_window_row &row : burnWindowTable) {
                end_counts sum;
                for (const count_bucket &bucket : counts.windows.at(static_cast<std::size_t>(row.window))) {
                    if (bucket.bucket > row.bucketOf(now) - bucketsPerWindow) { // A ring can contain buckets that are older than the window.
                        sum.add(bucket.counts);
                    }
                }
                RC_ASSERT(sum == recount(ends, counts.service, row, now));
            }
        }
        end_counts all;
        std::uint64_t expected = 0;
        for (const char *service : {"service-0", "service-1", "service-2"}) {
            all.add(recorder.totals(service));
        }
        for (const recorded_end &each : ends) {
            expected += classifyEnd(each.end) ? 1 : 0;
        }
        RC_ASSERT(all.total() == expected);
    });
}

// Guards against a job at a bucket boundary that is counted in both buckets or neither, and against a window shorter than its nominal length.
TEST_CASE("window boundaries are exact to the millisecond")
{
    for (const burn_window_row &row : burnWindowTable) {
        const std::int64_t bucket = row.bucketOf(testStart) + 5;
        const wall_time first = row.startOf(bucket);
        service_recorder recorder("entry-1", incarnation_id{1}, testStart);
        recorder.add("s", {}, first - 1ms);
        recorder.add("s", {}, first);
        recorder.add("s", {}, first + row.bucketLength() - 1ms);
        recorder.add("s", {}, first + row.bucketLength());
        const std::vector<count_bucket> buckets = recorder.document(first).services.at(0).windows.at(static_cast<std::size_t>(row.window));
        REQUIRE(buckets.size() == 3);
        CHECK(buckets.at(0).counts.total() == 1);
        CHECK(buckets.at(1).counts.total() == 2);
        CHECK(buckets.at(2).counts.total() == 1);

        burn_report report;
        report.add(recorder.document(first));
        const auto countAt = [&](wall_time at) {
            return report.summary(at).services.at(0).in(row.window).counts.total();
        };
        CHECK(countAt(first - 1ms + row.length) == 4);
        CHECK(countAt(row.startOf(bucket + bucketsPerWindow) - 1ms) == 3);
        CHECK(countAt(row.startOf(bucket + bucketsPerWindow)) == 1);
    }
}

// Guards against ended jobs that are lost when the wall clock is set back, and against counts with future times that are never removed.
TEST_CASE("no ended job is lost when the wall clock is set back")
{
    service_recorder recorder("entry-1", incarnation_id{1}, testStart);
    recorder.add("s", {}, testStart + 240h);
    recorder.add("s", {}, testStart);
    burn_report report;
    report.add(recorder.document(testStart));
    for (const burn_window_row &row : burnWindowTable) {
        const auto buckets = recorder.document(testStart).services.at(0).windows.at(static_cast<std::size_t>(row.window));
        REQUIRE(buckets.size() == 2);
        CHECK(buckets.front().bucket == row.bucketOf(testStart + 240h) - bucketsPerWindow + 1);
        const window_burn window = report.summary(testStart).services.at(0).in(row.window);
        CHECK(window.counts.total() == 2);
        CHECK(window.buckets.back().bucket == row.bucketOf(testStart));
        CHECK(report.summary(testStart + 400h).services.at(0).in(row.window).counts.total() == 0);
    }
}

// Guards against callers' errors that spend the budget, and against a wrong precedence between causes.
TEST_CASE("ended jobs are classified by cause")
{
    CHECK(classifyEnd({}) == end_cause::good);
    CHECK(classifyEnd({result_code::ok, 404}) == end_cause::good);
    CHECK(classifyEnd({result_code::ok, 200, true}) == end_cause::late);
    CHECK(classifyEnd({result_code::ok, 200, true, true}) == end_cause::late);
    CHECK(classifyEnd({result_code::ok, 500, true}) == end_cause::failed);
    CHECK(classifyEnd({result_code::ok, 503, false, true}) == end_cause::maintenance);
    CHECK(classifyEnd({result_code::queue_full}) == end_cause::refused);
    CHECK(classifyEnd({result_code::no_endpoint, 0, false, true}) == end_cause::maintenance);
    CHECK(classifyEnd({result_code::answer_timeout, 0, false, true}) == end_cause::outcome_unknown);
    CHECK_FALSE(classifyEnd({result_code::not_authenticated}));
    CHECK_FALSE(classifyEnd({result_code::still_running}));
}

// Guards against memory that grows with the number of names in requests or tables, and against counts that are lost at the maximum.
TEST_CASE("services and planned changes are bounded and no count is lost")
{
    service_recorder recorder("entry-1", incarnation_id{1}, testStart);
    const std::size_t number = 3 * service_recorder::maximumServices;
    for (std::size_t index = 0; index < number; ++index) {
        recorder.add("service-" + std::to_string(index), {}, testStart);
        recorder.addPlannedChange({testStart, planned_change_kind::move, "host-" + std::to_string(index), "started", {}});
    }
    const burn_document document = recorder.document(testStart);
    CHECK(document.services.size() == service_recorder::maximumServices);
    CHECK(document.plannedChanges.size() == maximumReportChanges);
    CHECK(document.droppedChanges == number - maximumReportChanges);
    std::uint64_t total = 0;
    for (const service_counts &each : document.services) {
        total += each.windows.at(0).at(0).counts.total();
    }
    CHECK(total == number);
    CHECK(parseBurnDocument(recorder.toJson(testStart).dump()).hasValue());

    recorder.setObjectives(2, {{"fresh", 0.99}}, testStart + 80h); // More than three days later, the unused names are removed.
    CHECK(recorder.document(testStart + 80h).services.size() == 1);
}

// Guards against meaningless quantiles while there are fewer values than the estimator has markers, and against estimates that include old values.
TEST_CASE("latency quantiles cover at most the last hour")
{
    service_recorder recorder("entry-1", incarnation_id{1}, testStart);
    const auto addLatency = [&](duration latency, wall_time at, latency_class which) {
        job_end end;
        end.latency = latency;
        end.latencyClass = which;
        recorder.add("s", end, at);
    };
    const auto quantilesOf = [&](latency_class which, wall_time at) {
        return recorder.document(at).services.at(0).latencies.at(static_cast<std::size_t>(which));
    };
    for (const int milliseconds : {50, 10, 40, 20, 30}) {
        addLatency(std::chrono::milliseconds(milliseconds), testStart, latency_class::urgent_job);
    }
    CHECK(quantilesOf(latency_class::urgent_job, testStart) == latency_quantiles{5, {30, 50, 50, 50}});
    CHECK(quantilesOf(latency_class::short_job, testStart).count == 0);

    std::mt19937_64 random(11);
    for (int index = 0; index < 20'000; ++index) {
        addLatency(duration{random() % 1'000'000}, testStart, latency_class::short_job);
    }
    const latency_quantiles uniform = quantilesOf(latency_class::short_job, testStart);
    CHECK(uniform.milliseconds.at(0) == Approx(500).margin(25));
    CHECK(uniform.milliseconds.at(1) == Approx(900).margin(25));
    CHECK(uniform.milliseconds.at(2) == Approx(990).margin(10));
    CHECK(uniform.milliseconds.at(3) == Approx(999).margin(2));

    addLatency(1ms, testStart + 59min, latency_class::short_job);
    CHECK(quantilesOf(latency_class::short_job, testStart + 59min).count == 20'001);

    addLatency(1ms, testStart + 61min, latency_class::short_job);
    CHECK(quantilesOf(latency_class::short_job, testStart + 61min) == latency_quantiles{2, {1, 1, 1, 1}});
    CHECK(quantilesOf(latency_class::short_job, testStart + 91min).count == 1);

    addLatency(1ms, testStart + 221min, latency_class::short_job);
    CHECK(quantilesOf(latency_class::short_job, testStart + 221min) == latency_quantiles{1, {1, 1, 1, 1}});
    CHECK(quantilesOf(latency_class::short_job, testStart + 30h).count == 0);
}
