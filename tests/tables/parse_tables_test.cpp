#include "core/core.h"
#include "source_file.h"
#include "tables/tables.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using nlohmann::json;

namespace {

json sampleRoutes()
{
    return json::parse(R"({"routes": [
        {"name": "lathe-path", "method": "POST", "path": "/lathe/paths", "pool": "lathe", "idempotent": false, "urgency": "normal",
         "deadlineMilliseconds": 30000, "declaredRunMilliseconds": 800, "maximumBodyBytes": 262144, "team": "lathe", "cancellable": false},
        {"name": "bill", "method": "POST", "path": "/bills", "pool": "office", "idempotent": true, "urgency": "urgent",
         "deadlineMilliseconds": 1000, "declaredRunMilliseconds": 10, "maximumBodyBytes": 0, "team": "office", "cancellable": true}]})");
}

json samplePools()
{
    return json::parse(R"({"pools": [
        {"name": "lathe", "service": "lathe", "region": "north", "spare": false, "availabilityObjective": 0.995, "minimumHosts": 1,
         "slotsPerHost": 8, "connectionsPerHost": 64, "longJobSlotShare": 0.5, "team": "lathe", "hosts": [
            {"host": "lathe-02", "dataCentre": "east", "rack": "east-r1", "address": "127.0.0.1:9102"},
            {"host": "lathe-01", "dataCentre": "west", "rack": "west-r1", "address": "127.0.0.1:9101"}]},
        {"name": "office", "service": "office", "region": "north", "spare": true, "availabilityObjective": 0.9, "minimumHosts": 0,
         "slotsPerHost": 8, "connectionsPerHost": 64, "longJobSlotShare": 1, "team": "office", "hosts": [
            {"host": "office-01", "dataCentre": "east", "rack": "east-r1", "address": "127.0.0.1:9103"}]}]})");
}

outcome<tables> parse(const json &routes, const json &pools)
{
    return parseTables(routes.dump(), pools.dump());
}

/** One edit that makes the sample tables invalid, and the expected failure. A null value removes the key. */
struct invalid_edit
{
    std::string pointer;
    json value;
    result_code code;
    std::string failurePointer;
};

outcome<tables> parseEdited(const std::string &pointer, const json &value)
{
    json routes = sampleRoutes();
    json pools = samplePools();
    json &target = pointer.starts_with("/routes") ? routes : pools;
    const json::json_pointer place(pointer);
    if (value.is_null()) {
        target[place.parent_pointer()].erase(place.back());
    } else {
        target[place] = value;
    }
    return parse(routes, pools);
}

} // namespace

// Guards against publishing an invalid table, and against reporting a failure at the wrong place.
TEST_CASE("each invalid edit of a table is refused with the matching code and pointer")
{
    const json host = samplePools()["pools"][0]["hosts"][0];
    const auto edit = GENERATE_COPY(values<invalid_edit>({
        {"/routes/0/colour", "red", result_code::unknown_key, "/routes/0/colour"},
        {"/pools/0/hosts/0/port", 1, result_code::unknown_key, "/pools/0/hosts/0/port"},
        {"/pools/0/team", nullptr, result_code::missing_key, "/pools/0/team"},
        {"/routes/1/urgency", nullptr, result_code::missing_key, "/routes/1/urgency"},
        {"/routes/0/idempotent", 1, result_code::wrong_type, "/routes/0/idempotent"},
        {"/routes/0/deadlineMilliseconds", "1", result_code::wrong_type, "/routes/0/deadlineMilliseconds"},
        {"/routes/0/deadlineMilliseconds", 0, result_code::out_of_range, "/routes/0/deadlineMilliseconds"},
        {"/routes/0/declaredRunMilliseconds", 604800001, result_code::out_of_range, "/routes/0/declaredRunMilliseconds"},
        {"/routes/0/maximumBodyBytes", 3145729, result_code::out_of_range, "/routes/0/maximumBodyBytes"},
        {"/routes/0/urgency", "high", result_code::invalid_value, "/routes/0/urgency"},
        {"/routes/0/method", "TRACE", result_code::invalid_value, "/routes/0/method"},
        {"/routes/0/path", "lathe", result_code::invalid_value, "/routes/0/path"},
        {"/routes/0/path", "/lathe/", result_code::invalid_value, "/routes/0/path"},
        {"/routes/0/path", "/lathe//a", result_code::invalid_value, "/routes/0/path"},
        {"/routes/0/path", "/lathe/../a", result_code::invalid_value, "/routes/0/path"},
        {"/routes/0/path", "/lathe?a", result_code::invalid_value, "/routes/0/path"},
        {"/routes/0/path", "/v1/jobs", result_code::invalid_value, "/routes/0/path"},
        {"/routes/0/path", "/" + std::string(200, 'a'), result_code::out_of_range, "/routes/0/path"},
        {"/routes/0/pool", "mill", result_code::unknown_pool, "/routes/0/pool"},
        {"/routes/1/name", "lathe-path", result_code::duplicate_name, "/routes/1/name"},
        {"/routes/1/path", "/lathe/paths", result_code::duplicate_name, "/routes/1/path"},
        {"/pools/1/name", std::string(65, 'a'), result_code::out_of_range, "/pools/1/name"},
        {"/pools/0/availabilityObjective", 1.0, result_code::out_of_range, "/pools/0/availabilityObjective"},
        {"/pools/0/longJobSlotShare", 0, result_code::out_of_range, "/pools/0/longJobSlotShare"},
        {"/pools/0/slotsPerHost", 0, result_code::out_of_range, "/pools/0/slotsPerHost"},
        {"/pools/0/connectionsPerHost", 4097, result_code::out_of_range, "/pools/0/connectionsPerHost"},
        {"/pools/0/minimumHosts", 0, result_code::out_of_range, "/pools/0/minimumHosts"},
        {"/pools/0/minimumHosts", 3, result_code::out_of_range, "/pools/0/minimumHosts"},
        {"/pools/1/hosts", json::array(), result_code::empty_pool, "/pools/1/hosts"},
        {"/pools/0/hosts/1", host, result_code::duplicate_name, "/pools/0/hosts/1/host"},
        {"/pools/1/hosts/0/host", "lathe-01", result_code::host_in_two_pools, "/pools/1/hosts/0/host"},
        {"/pools/1/hosts/0/address", "127.0.0.1:9101", result_code::duplicate_address, "/pools/1/hosts/0/address"},
        {"/pools/1/hosts/0/address", "office.example:80", result_code::invalid_value, "/pools/1/hosts/0/address"},
        {"/pools/1/hosts/0/rack", "west-r1", result_code::invalid_value, "/pools/1/hosts/0/rack"},
    }));
    const auto parsed = parseEdited(edit.pointer, edit.value);
    INFO(edit.pointer << " = " << edit.value);
    REQUIRE_FALSE(parsed.hasValue());
    CHECK(parsed.failures()[0].code == edit.code);
    CHECK(parsed.failures()[0].pointer == edit.failurePointer);
}

// Guards against a duplicate pool name whose second entry silently replaces the first.
TEST_CASE("a pool that is listed twice is refused")
{
    json pools = samplePools();
    pools["pools"][1]["name"] = "lathe";
    const auto parsed = parse(sampleRoutes(), pools);
    REQUIRE_FALSE(parsed.hasValue());
    CHECK(parsed.failures()[0].code == result_code::duplicate_name);
    CHECK(parsed.failures()[0].pointer == "/pools/1/name");
}

// Guards against accepting a table over the size limit. The canonical form has the same limit because it is written to the log.
TEST_CASE("a table over the size limit is refused")
{
    const auto parsed = parseTables(sampleRoutes().dump() + std::string(maximumTableBytes, ' '), samplePools().dump());
    REQUIRE_FALSE(parsed.hasValue());
    CHECK(parsed.lastReason().code == result_code::table_too_large);
}

// Guards against a check that stops after a failure in the first table, so that operators correct one failure at a time.
TEST_CASE("failures in both tables are reported together")
{
    json routes = sampleRoutes();
    json pools = samplePools();
    routes["routes"][0]["urgency"] = "high";
    pools["pools"][1]["hosts"][0]["address"] = "x";
    const auto parsed = parse(routes, pools);
    REQUIRE(parsed.failures().size() == 2);
    CHECK(parsed.failures()[0].pointer == "/routes/0/urgency");
    CHECK(parsed.failures()[1].pointer == "/pools/1/hosts/0/address");
}

// Guards against digests that depend on the order of entries or the white space of the operators' files.
TEST_CASE("the digest depends only on the content of the tables")
{
    json routes = sampleRoutes();
    json pools = samplePools();
    const auto first = parse(routes, pools);
    REQUIRE(first.hasValue());
    std::swap(routes["routes"][0], routes["routes"][1]);
    std::swap(pools["pools"][0], pools["pools"][1]);
    std::swap(pools["pools"][1]["hosts"][0], pools["pools"][1]["hosts"][1]);
    const auto second = parseTables(routes.dump(4), pools.dump(2));
    REQUIRE(second.hasValue());
    CHECK(*first == *second);
    CHECK(first->digest() == second->digest());
    CHECK(first->digest().size() == 32);

    const auto again = parseTables(first->routes().canonicalJson(), first->pools().canonicalJson());
    REQUIRE(again.hasValue());
    CHECK(again->digest() == first->digest());
    CHECK(parseEdited("/routes/0/deadlineMilliseconds", 30001)->digest() != first->digest());
    CHECK(parseEdited("/pools/0/hosts/0/rack", "east-r2")->digest() != first->digest());
}

// Guards against sending requests to the pool of another route because a lookup accepts partial matches.
TEST_CASE("lookups match the complete name, method and path")
{
    const auto parsed = parse(sampleRoutes(), samplePools());
    REQUIRE(parsed.hasValue());
    REQUIRE(parsed->findRoute("POST", "/lathe/paths") != nullptr);
    CHECK(parsed->findRoute("POST", "/lathe/paths")->name == "lathe-path");
    CHECK(parsed->poolOf(*parsed->findRoute("POST", "/bills")).name == "office");
    CHECK(parsed->findRoute("GET", "/lathe/paths") == nullptr);
    CHECK(parsed->findRoute("POST", "/lathe/path") == nullptr);
    CHECK(parsed->findRoute("POST", "/lathe/paths/") == nullptr);
    CHECK(parsed->routes().hasPath("/bills"));
    CHECK_FALSE(parsed->routes().hasPath("/bill"));
    CHECK(parsed->routes().findByName("bill")->urgency == urgency::urgent);
    CHECK(parsed->routes().findByName("bil") == nullptr);
    CHECK(parsed->pools().poolOfHost("office-01")->name == "office");
    CHECK(parsed->pools().findHost("lathe-02")->dataCentre == "east");
    CHECK(parsed->pools().findHost("lathe-03") == nullptr);
    CHECK(parsed->pools().hostCount() == 3);
}

// Guards against exceptions on corrupt tables, which log records may contain as well.
TEST_CASE("mutated tables never throw, and accepted ones have a stable canonical form")
{
    rc::prop("mutated tables", [](std::uint8_t replacement) {
        std::string routes = sampleRoutes().dump();
        std::string pools = samplePools().dump();
        std::string &target = *rc::gen::arbitrary<bool>() ? routes : pools;
        target[*rc::gen::inRange<std::size_t>(0, target.size())] = static_cast<char>(replacement);
        const auto parsed = parseTables(routes, pools);
        if (parsed) {
            const auto again = parseTables(parsed->routes().canonicalJson(), parsed->pools().canonicalJson());
            RC_ASSERT(again.hasValue());
            RC_ASSERT(again->digest() == parsed->digest());
        } else {
            RC_ASSERT_FALSE(parsed.failures().empty());
        }
    });
}

// Guards against example tables that fail the checks or lack a kind of route that the demonstration needs.
TEST_CASE("the example tables are valid and match the deployments in size and kinds of routes")
{
    const std::string folder = GENERATE(as<std::string>{}, "examples/hung-phat", "examples/austral-pistas");
    const auto parsed = parseTables(readSourceFile(folder + "/routes.json"), readSourceFile(folder + "/pools.json"));
    INFO((parsed ? "" : parsed.lastReason().pointer + " " + parsed.lastReason().reason));
    REQUIRE(parsed.hasValue());
    REQUIRE(parsed->pools().pools().size() == 5);

    std::map<std::string, std::size_t> rackSizes;
    std::set<std::string> dataCentres;
    for (const pool &each : parsed->pools().pools()) {
        CHECK(each.hosts.size() >= 8);
        CHECK(each.hosts.size() <= 12);
        std::set<bool> idempotentKinds;
        for (const route &candidate : parsed->routes().routes()) {
            if (candidate.pool == each.name) {
                idempotentKinds.insert(candidate.idempotent);
            }
        }
        CHECK(idempotentKinds.size() == 2);
        for (const pool_host &host : each.hosts) {
            ++rackSizes[host.rack];
            dataCentres.insert(host.dataCentre);
        }
    }
    CHECK(dataCentres.size() == 4);
    CHECK(std::all_of(rackSizes.begin(), rackSizes.end(), [](const auto &rack) { return rack.second <= 4; }));

    const auto &routes = parsed->routes().routes();
    CHECK(std::any_of(routes.begin(), routes.end(), [](const route &each) { return each.urgency == urgency::urgent; }));
    CHECK(std::any_of(routes.begin(), routes.end(), [](const route &each) { return each.declaredRunMilliseconds >= 100 * 1000; }));
}
