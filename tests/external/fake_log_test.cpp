#include "core/core.h"
#include "external/external.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

fake_log_faults allFaults()
{
    fake_log_faults faults;
    faults.loseResponses = 0.2;
    faults.lateAppends = 0.2;
    faults.duplicates = 0.2;
    faults.staleReads = 0.3;
    faults.appendsPerSecond = 100;
    return faults;
}

/** Results of all appends, and the records in the log at the end. */
struct history
{
    std::vector<append_result> results;
    std::vector<log_record> records;
};

/** Appends numbered payloads under faults, with one partition and one outage. */
history appendUnderFaults(std::uint64_t seed)
{
    manual_timer_service timers;
    fake_log_settings settings;
    settings.seed = seed;
    fake_log log(timers, settings);
    fake_log_client client(log, timers, 500ms);
    fake_log_faults faults = allFaults();
    log.setFaults(faults);

    history result;
    constexpr std::size_t appends = 200;
    result.results.resize(appends);
    for (std::size_t index = 0; index < appends; ++index) {
        client.setPartitioned(index >= 50 && index < 60);
        faults.outage = index >= 100 && index < 110;
        log.setFaults(faults);
        client.append("s", std::to_string(index), [&result, index](const append_result &appendResult) { result.results[index] = appendResult; });
        timers.advance(3ms);
    }
    timers.advance(10s);
    result.records = log.records("s");
    return result;
}

} // namespace

// Guards against a fake that violates the contract of log_client: a refused append that was written, or an appended one that was not.
TEST_CASE("the fake log reports correct results under faults")
{
    rc::prop("an appended record is in the log, a refused one is not, an unknown one may be", [](std::uint64_t seed) {
        const history run = appendUnderFaults(seed);
        std::multiset<std::string> payloads;
        for (const log_record &record : run.records) {
            RC_ASSERT(record.offset == payloads.size());
            payloads.insert(record.payload);
        }

        std::size_t unknownWritten = 0;
        std::size_t unknownMissing = 0;
        for (std::size_t index = 0; index < run.results.size(); ++index) {
            const append_result &result = run.results[index];
            const std::size_t written = payloads.count(std::to_string(index));
            if (result.status == append_status::appended) {
                RC_ASSERT(run.records.at(result.offset).payload == std::to_string(index));
            } else if (result.status == append_status::refused) {
                RC_ASSERT(written == 0U);
            } else {
                ++(written > 0 ? unknownWritten : unknownMissing);
            }
            RC_ASSERT(result.reason.empty() == (result.status == append_status::appended));
        }
        RC_ASSERT(unknownWritten > 0U);
        RC_ASSERT(unknownMissing > 0U);
        RC_ASSERT(payloads.size() > std::set<std::string>(payloads.begin(), payloads.end()).size());
    });
}

// Guards against simulation runs that cannot be reproduced from their seed.
TEST_CASE("the fake log is deterministic for a seed")
{
    const auto describe = [](const history &run) {
        std::string text;
        for (const append_result &result : run.results) {
            text += std::to_string(static_cast<int>(result.status)) + ':' + std::to_string(result.offset) + ' ';
        }
        for (const log_record &record : run.records) {
            text += record.payload + ' ';
        }
        return text;
    };

    CHECK(describe(appendUnderFaults(7)) == describe(appendUnderFaults(7)));
    CHECK(describe(appendUnderFaults(7)) != describe(appendUnderFaults(8)));
}

// Guards against a rate limit that accepts more appends than the platform does.
TEST_CASE("the fake log limits the rate of appends")
{
    manual_timer_service timers;
    fake_log log(timers, {});
    int appended = 0;
    duration longestWait{};
    for (int index = 0; index < 5000; ++index) {
        log.append(index % 2 == 0 ? "a" : "b", "x", [&](const append_result &result) {
            appended += result.status == append_status::appended ? 1 : 0;
            longestWait = std::max(longestWait, result.retryAfter);
        });
        timers.advance(1ms);
    }
    timers.advance(1s);
    CHECK(appended >= 1500);
    CHECK(appended <= 1530);
    CHECK(longestWait > 0ms);
    CHECK(longestWait <= 4ms);
}

// Guards against callbacks into a simulated host that has been killed.
TEST_CASE("a destroyed client is not called back")
{
    manual_timer_service timers;
    fake_log log(timers, {});
    int calls = 0;
    {
        fake_log_client client(log, timers);
        client.append("s", "x", [&](const append_result &) { ++calls; });
        client.read("s", 9, 1, 1s, [&](const read_result &) { ++calls; });
    }
    timers.advance(10s);
    CHECK(calls == 0);
    CHECK(log.head("s") == 1);
}

// Guards against retention that leaves records beyond the maximum age or count.
TEST_CASE("the fake log removes records by count and age")
{
    manual_timer_service timers;
    fake_log_settings settings;
    settings.retentionRecords = 3;
    settings.retentionAge = 1min;
    fake_log log(timers, settings);
    for (int index = 0; index < 5; ++index) {
        log.write("s", std::to_string(index));
    }
    CHECK(log.earliest("s") == 2);
    CHECK(log.records("s").front().payload == "2");

    timers.advance(2min);
    std::optional<read_result> read;
    log.read("s", 2, 10, 0ms, [&](const read_result &result) { read = result; });
    timers.advance(1s);
    REQUIRE(read);
    CHECK(read->status == read_status::trimmed);
    CHECK(read->earliest == 5);
    CHECK(read->head == 5);
}
