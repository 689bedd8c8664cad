#include "source_file.h"
#include "tables/tables.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using nlohmann::json;

namespace {

struct example_tables
{
    json routes = json::parse(readSourceFile("examples/hung-phat/routes.json"));
    json pools = json::parse(readSourceFile("examples/hung-phat/pools.json"));

    tables parse() const
    {
        const auto parsed = parseTables(routes.dump(), pools.dump());
        REQUIRE(parsed.hasValue());
        return *parsed;
    }
};

} // namespace

// Guards against a diff that omits a change when an operator merges concurrent edits.
TEST_CASE("a diff lists added, removed and changed entries with their fields")
{
    const example_tables before;
    example_tables after;
    after.routes["routes"][0]["deadlineMilliseconds"] = 12000;
    after.routes["routes"][1]["name"] = "scan-quick-look";
    json &scanHosts = after.pools["pools"][0]["hosts"];
    after.pools["pools"][1]["hosts"].push_back(scanHosts[0]);
    scanHosts.erase(0);
    after.pools["pools"][1]["minimumHosts"] = 9;

    const table_diff diff = diffTables(before.parse(), after.parse());
    CHECK(diff.text()
          == "removed route scan-preview\n"
             "added route scan-quick-look\n"
             "changed route scan-upload\n"
             "    deadlineMilliseconds: 10000 -> 12000\n"
             "changed pool lathe-planning\n"
             "    minimumHosts: 8 -> 9\n"
             "changed host scan-01\n"
             "    pool: \"scan-intake\" -> \"lathe-planning\"\n");
    const json changes = diff.json()["changes"];
    REQUIRE(changes.size() == 5);
    CHECK(changes[2] == json::parse(R"({"kind":"changed","entry":"route","name":"scan-upload",
        "fields":[{"field":"deadlineMilliseconds","before":10000,"after":12000}]})"));
    CHECK(changes[0]["kind"] == "removed");
    CHECK(changes[0]["fields"].size() == 11);
    CHECK(changes[0]["fields"][0]["after"].is_null());
}

// Guards against reporting a different order of entries as a change.
TEST_CASE("equal tables have no differences")
{
    const example_tables before;
    example_tables after;
    std::swap(after.routes["routes"][0], after.routes["routes"][1]);
    const table_diff diff = diffTables(before.parse(), after.parse());
    CHECK(diff.isEmpty());
    CHECK(diff.text() == "no differences\n");
}
