#include "random_events.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hostCount = 4;
const std::map<std::string, double> objectives{{"service-0", 0.9}, {"service-1", 0.995}, {"service-2", 0.5}};

std::vector<burn_document> recordAll(const std::vector<recorded_end> &ends, std::mt19937_64 &random)
{
    std::vector<burn_document> result;
    for (std::size_t host = 0; host < hostCount; ++host) {
        service_recorder recorder("entry-" + std::to_string(host), incarnation_id{static_cast<std::int64_t>(random())}, testStart);
        recorder.setObjectives(7, objectives, testStart);
        for (const recorded_end &each : ends) {
            if (each.host == host) {
                recorder.add(each.service, each.end, each.at);
            }
            if (random() % 40 == 0) {
                recorder.addPlannedChange(
                    {each.at, static_cast<planned_change_kind>(random() % plannedChangeKindCount), "s-" + std::to_string(random() % 3), "started", {}});
            }
        }
        result.push_back(recorder.document(ends.back().at));
    }
    return result;
}

/** Merges the reports in random order and grouping, some of them twice. */
burn_report mergeAtRandom(std::vector<burn_report> parts, std::mt19937_64 &random)
{
    while (parts.size() > 1) {
        std::shuffle(parts.begin(), parts.end(), random);
        const std::size_t target = random() % (parts.size() - 1);
        parts.at(target).merge(parts.back());
        if (random() % 5 != 0) {
            parts.pop_back();
        }
    }
    return parts.front();
}

} // namespace

// Guards against a report that depends on the order in which entry hosts respond, or that counts a document twice if it is received twice.
TEST_CASE("merging in any order and grouping gives the same report")
{
    rc::prop("for random documents, old copies and missing entry hosts", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const auto ends = randomEnds(random, hostCount, 150);
        std::vector<burn_report> parts;
        for (burn_document &each : recordAll(ends, random)) {
            burn_document older = each;
            older.takenAt -= 5s;
            older.services.clear();
            parts.emplace_back().add(std::move(each));
            parts.emplace_back().add(std::move(older));
            parts.emplace_back().addMissing("entry-" + std::to_string(random() % (hostCount + 2)), "reason " + std::to_string(random() % 3));
        }
        burn_report plain;
        for (const burn_report &each : parts) {
            plain.merge(each);
        }
        const wall_time now = ends.back().at + std::chrono::seconds(random() % 600);
        const burn_summary expected = plain.summary(now);
        const burn_summary merged = mergeAtRandom(parts, random).summary(now);
        RC_ASSERT(renderJson(merged) == renderJson(expected));
        RC_ASSERT(renderText(merged) == renderText(expected));
        RC_ASSERT(renderHtml(merged) == renderHtml(expected));
        RC_ASSERT(merged.sources.size() == hostCount);
        for (const burn_summary::source &each : merged.sources) {
            RC_ASSERT(each.takenAt == ends.back().at); // Not that of the older copy.
        }
    });
}

// Guards against burn rates, budgets and alerts that differ from those computed directly from the ended jobs.
TEST_CASE("burn rates and budgets match a direct count of the ended jobs")
{
    rc::prop("for random ended jobs at several entry hosts", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const auto ends = randomEnds(random, hostCount, 300);
        burn_report report;
        for (const burn_document &each : recordAll(ends, random)) {
            RC_ASSERT(report.parseAndAdd(each.entryHost, toJson(each).dump()).empty()); // In the JSON form that entry hosts exchange.
        }

        const wall_time now = ends.back().at + std::chrono::seconds(random() % 4'000);
        for (const service_burn &service : report.summary(now).services) {
            const double allowedShare = 1 - objectives.at(service.service);
            std::array<double, burnWindowCount> rates{};
            for (const burn_window_row &row : burnWindowTable) {
                const end_counts counts = recount(ends, service.service, row, now);
                const window_burn &window = service.in(row.window);
                RC_ASSERT(window.counts == counts);
                double &rate = rates.at(static_cast<std::size_t>(row.window));
                rate = counts.total() == 0 ? 0 : static_cast<double>(counts.spent()) / static_cast<double>(counts.total()) / allowedShare;
                RC_ASSERT(std::abs(*window.burnRate - rate) < 1e-9);
            }
            const bool isFast = rates.at(2) > 14.4 && rates.at(0) > 14.4;
            const bool isSlow = rates.at(3) > 6 && rates.at(1) > 6;
            RC_ASSERT(service.alert == (isFast ? alert_state::fast : isSlow ? alert_state::slow : alert_state::none));

            const end_counts &counts = service.windows.back().counts;
            const auto spent = static_cast<double>(counts.spent());
            RC_ASSERT(*service.remainingShare <= 1);
            RC_ASSERT((*service.remainingShare == 1) == (counts.spent() == 0));
            RC_ASSERT((*service.remainingShare < -1e-9) == (spent > *service.allowedJobs + 1e-9));
            RC_ASSERT(std::abs(*service.remainingShare + rates.back() - 1) < 1e-9);
        }
    });
}

// Guards against an alert for a burn rate that has been high for too short a time or that has already decreased.
TEST_CASE("an alert requires high burn rates in the long and the short window")
{
    const auto alertAfter = [](duration failing, duration quiet) {
        service_recorder recorder("entry-1", incarnation_id{1}, testStart);
        recorder.setObjectives(1, {{"s", 0.99}}, testStart);
        wall_time at = testStart;
        for (; at < testStart + 8h; at += 5s) {
            const bool fails = at >= testStart + 8h - failing - quiet && at < testStart + 8h - quiet;
            recorder.add("s", {result_code::ok, fails ? 500 : 200}, at);
        }
        burn_report report;
        report.add(recorder.document(at));
        return report.summary(at).services.at(0).alert;
    };
    CHECK(alertAfter(0s, 0s) == alert_state::none);
    CHECK(alertAfter(3min, 0s) == alert_state::none); // Less than 14.4 % of an hour.
    CHECK(alertAfter(12min, 0s) == alert_state::fast);
    CHECK(alertAfter(12min, 10min) == alert_state::none); // The failures have ended, and they are below 6 % of 6 hours.
    CHECK(alertAfter(40min, 10min) == alert_state::slow);
    CHECK(alertAfter(40min, 45min) == alert_state::none);
}

// Guards against entry hosts that are missing from the report without being listed, and against documents accepted for another entry host.
TEST_CASE("entry hosts without a valid document are listed as missing")
{
    service_recorder recorder("entry-1", incarnation_id{1}, testStart);
    burn_report report;
    report.addMissing("entry-2", "no response within 2 s");
    CHECK_FALSE(report.parseAndAdd("entry-3", "{\"version\":1").empty());
    CHECK_FALSE(report.parseAndAdd("entry-4", recorder.toJson(testStart).dump()).empty());
    CHECK(report.parseAndAdd("entry-1", recorder.toJson(testStart).dump()).empty());
    report.addMissing("entry-1", "no response to the second request");
    const burn_summary summary = report.summary(testStart);
    CHECK(summary.missing.size() == 3);
    for (const std::string &page : {renderText(summary), renderJson(summary), renderHtml(summary)}) {
        for (const char *host : {"entry-1", "entry-2", "entry-3", "entry-4"}) {
            CHECK(page.find(host) != std::string::npos);
        }
    }
}

// Guards against budget spending attributed to the wrong change, to a later change, or to a change of another service.
TEST_CASE("increased spending is reported with the planned change before it")
{
    service_recorder recorder("entry-1", incarnation_id{1}, testStart);
    recorder.setObjectives(3, {{"s", 0.99}}, testStart);
    for (int minute = 0; minute < 300; ++minute) {
        const bool failsAtRandom = minute == 75 || minute == 80 || (minute >= 100 && minute < 105); // From 2 to 5 in 24 min: not significant.
        const bool failsAfterWave = minute >= 200 && minute < 215;
        const bool failsBeforeWave = minute >= 160 && minute < 200 && minute % 4 == 0;
        const bool fails = failsAtRandom || failsAfterWave || failsBeforeWave;
        recorder.add("s", {result_code::ok, fails ? 500 : 200}, testStart + std::chrono::minutes(minute));
    }
    recorder.addPlannedChange({testStart + 100min, planned_change_kind::revision, "revision 3", "accepted", {}});
    recorder.addPlannedChange({testStart + 199min, planned_change_kind::wave, "wave-7", "started", {}});
    recorder.addPlannedChange({testStart + 200min, planned_change_kind::move, "host-1", "leaves", "another"});
    recorder.addPlannedChange({testStart + 250min, planned_change_kind::drain, "rack-2", "ended", {}});
    burn_report report;
    burn_document second = recorder.document(testStart + 300min);
    second.entryHost = "entry-2";
    second.services.clear();
    second.plannedChanges.at(1).at += 2s; // The same change as observed by another entry host.
    report.add(recorder.document(testStart + 300min));
    report.add(second);

    const burn_summary summary = report.summary(testStart + 300min);
    const service_burn &service = summary.services.at(0);
    CHECK(summary.plannedChanges.size() == 4);
    REQUIRE(service.coincidences.size() == 1);
    CHECK(service.coincidences.at(0).change.subject == "wave-7");
    CHECK(service.coincidences.at(0).bucketLength == 12min);
    CHECK(service.coincidences.at(0).spentAfter == 17); // From 192 to 215 min.
    CHECK(service.coincidences.at(0).spentBefore == 6); // From 168 to 191 min.
}
