#include "random_events.h"
#include "reports/bucket_text.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <sstream>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

const std::string hostileName = "a\"b'c<script>alert(1)</script>&\n\r\x1b[31m\xff\\}";

std::string validDocument(std::mt19937_64 &random)
{
    service_recorder recorder("entry-1", incarnation_id{5}, testStart);
    recorder.setObjectives(3, {{"service-0", 0.99}}, testStart);
    recorder.addPlannedChange({testStart, planned_change_kind::wave, "wave-1", "started", {}});
    for (const recorded_end &each : randomEnds(random, 1, 12)) {
        recorder.add(each.service, each.end, each.at);
    }
    return recorder.toJson(testStart + 1h).dump();
}

/** Replaces one random value of the document by a value of another type or size. */
void mutateValue(nlohmann::json &value, std::mt19937_64 &random)
{
    if (value.is_structured() && !value.empty() && random() % 6 != 0) {
        mutateValue(*std::next(value.begin(), static_cast<std::ptrdiff_t>(random() % value.size())), random);
        return;
    }
    static const std::array<nlohmann::json, 9> replacements{
        nullptr, -1, 1e300, 18'446'744'073'709'551'615U, "", "text\n", nlohmann::json::array(), nlohmann::json::object(), true};
    value = replacements.at(random() % replacements.size());
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t result = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++result;
    }
    return result;
}

} // namespace

// Guards against damaged documents that terminate the process, and against invalid documents that are accepted.
TEST_CASE("random and mutated documents are rejected or parsed exactly, and never cause an exception")
{
    rc::prop("for mutated bytes", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        std::string text = validDocument(random);
        for (std::uint64_t change = random() % 4; change < 4; ++change) {
            const std::size_t at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text.at(at) = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, random() % 20);
                break;
            default:
                text.insert(at, text.substr(random() % text.size(), random() % 20));
            }
        }
        burn_report report;
        const auto failures = report.parseAndAdd("entry-1", text);
        const burn_summary summary = report.summary(testStart + 1h);
        RC_ASSERT(failures.empty() == summary.missing.empty());
        RC_ASSERT(!renderText(summary).empty() && !renderJson(summary).empty() && !renderHtml(summary).empty());
    });
    rc::prop("for mutated values", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        nlohmann::json document = nlohmann::json::parse(validDocument(random));
        const nlohmann::json before = document;
        mutateValue(document, random);
        const auto parsed = parseBurnDocument(document.dump());
        const bool isUnchanged = !parsed || toJson(*parsed) == document;
        RC_ASSERT(isUnchanged);
    });
    rc::prop("for random bytes", [](const std::string &text) { RC_ASSERT(!parseBurnDocument(text)); });
}

// Guards against accepting documents of another form, documents that contain a service twice, and values out of bounds.
TEST_CASE("documents that violate the format are rejected")
{
    std::mt19937_64 random(3);
    const nlohmann::json valid = nlohmann::json::parse(validDocument(random));
    REQUIRE(parseBurnDocument(valid.dump()).hasValue());
    const std::vector<std::pair<std::string, nlohmann::json>> changes{
        {"/version", 2},
        {"/services/1", valid.at("services").at(0)},
        {"/services/0/objective", 1},
        {"/services/0/windows/5m", "7 0"},
        {"/services/0/latencies/short/milliseconds", nlohmann::json::array({1, 2, 3})},
        {"/services/0/latencies/short/count", -1},
        {"/notes/0/kind", "other"},
        {"/entryHost", ""},
        {"/surplus", 1},
    };
    for (const auto &[pointer, value] : changes) {
        nlohmann::json changed = valid;
        changed[nlohmann::json::json_pointer(pointer)] = value;
        const auto parsed = parseBurnDocument(changed.dump());
        INFO(pointer);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.failures().front().pointer.starts_with(pointer));
    }
}

// Guards against bucket texts that are parsed to other buckets, that have several forms for the same counts, or whose values are out of bounds.
TEST_CASE("each list of buckets has exactly one text form")
{
    CHECK(parseBuckets("")->empty());
    CHECK(parseBuckets("7 1,0,2;9 0,3")->size() == 2);
    for (const char *text : {"7",
                             "7 ",
                             "7 1;",
                             ";7 1",
                             "7 1,",
                             "7 0",
                             "7 1,0",
                             "7 01",
                             "07 1",
                             "-7 1",
                             "7 -1",
                             "7 1 ",
                             "7 1;7 1",
                             "9 1;7 1",
                             "7 1;38 1",
                             "7 1,2,3,4,5,6,7",
                             "7 1000000000001",
                             "100000000001 1",
                             "99999999999999999999 1",
                             "7 1.5"}) {
        INFO(text);
        CHECK_FALSE(parseBuckets(text));
    }
    rc::prop("mutated texts are rejected or formatted to the same text again", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        std::string text = "29939040 12,0,1;29939042 3;29939050 0,0,0,0,0,1";
        for (int change = 0; change < 2; ++change) {
            text.at(random() % text.size()) = "0123456789 ,;-x"[random() % 15];
        }
        const auto parsed = parseBuckets(text);
        const bool isSame = !parsed || formatBuckets(*parsed) == text;
        RC_ASSERT(isSame);
    });
}

// Guards against injection of markup or terminal escape sequences into a page through names.
TEST_CASE("hostile names are escaped in every rendering")
{
    burn_summary summary;
    summary.at = testStart;
    summary.missing.push_back({hostileName, hostileName});
    summary.sources.push_back({hostileName, incarnation_id{1}, testStart, testStart, 1});
    service_burn service;
    service.service = hostileName;
    service.windows.back().counts.add(end_cause::failed, 3);
    service.coincidences.push_back({{testStart, planned_change_kind::wave, hostileName, hostileName, {}}, 0, 3, 1min});
    summary.services.push_back(service);

    const std::string html = renderHtml(summary);
    CHECK(count(html, "<script") == 0);
    CHECK(count(html, "&lt;script&gt;") >= 7);
    CHECK(count(html, "a\"b") == 0);
    CHECK(count(html, "b'c") == 0);
    CHECK(count(html, "\x1b") + count(html, "\xff") == 0);
    CHECK(nlohmann::json::parse(renderJson(summary)).at("services").size() == 1);

    std::istringstream lines(renderText(summary));
    for (std::string line; std::getline(lines, line);) {
        CHECK(line.size() <= 110); // 100 columns; the replacement character for an invalid byte has three bytes.
        CHECK(count(line, "\x1b") + count(line, "\r") == 0);
    }

    service_recorder recorder(hostileName, incarnation_id{1}, testStart);
    recorder.add(hostileName, {}, testStart);
    recorder.add(std::string(500, '\xe1'), {}, testStart);
    recorder.add("", {}, testStart);
    recorder.addPlannedChange({testStart, planned_change_kind::wave, hostileName, hostileName, hostileName});
    const auto parsed = parseBurnDocument(recorder.toJson(testStart).dump());
    REQUIRE(parsed.hasValue());
    CHECK(parsed->services.size() == 3);
}

// Guards against label values that end the line or the quoted string, and so inject other metrics.
TEST_CASE("the metrics page follows the exposition format")
{
    const std::vector<metric> metrics{
        {"jobs_total", "Jobs\nand \\ more.", {{{{"service", hostileName}, {"a-b", "x"}}, counter_value{3}}, {{}, gauge_value{9}}}},
        {"9 bad\"name", "Help.", {{{}, gauge_value{0.1}}, {{{"quantile", "1"}}, gauge_value{-std::numeric_limits<double>::infinity()}}}},
        {"wait_seconds", "Waits.", {{{{"class", "short"}}, summary_value{{{0.5, 1}, {0.999, 2.5}}, 4, 6}}}},
        {"jobs_total", "Again.", {{{}, counter_value{1}}}},
        {"empty", "No samples.", {}},
    };
    CHECK(renderMetrics(metrics)
          == "# HELP jobs_total Jobs\\nand \\\\ more.\n"
             "# TYPE jobs_total counter\n"
             "jobs_total{a_b=\"x\",service=\"a\\\"b'c<script>alert(1)</script>&\\n \x1b[31m\xef\xbf\xbd\\\\}\"} 3.0\n"
             "# HELP __bad_name Help.\n"
             "# TYPE __bad_name gauge\n"
             "__bad_name 0.1\n"
             "__bad_name{quantile=\"1\"} -Inf\n"
             "# HELP wait_seconds Waits.\n"
             "# TYPE wait_seconds summary\n"
             "wait_seconds{class=\"short\",quantile=\"0.5\"} 1.0\n"
             "wait_seconds{class=\"short\",quantile=\"0.999\"} 2.5\n"
             "wait_seconds_sum{class=\"short\"} 6.0\n"
             "wait_seconds_count{class=\"short\"} 4\n");
}
