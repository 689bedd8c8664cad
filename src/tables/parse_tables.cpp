#include "tables/parse_tables.h"

#include "core/json_checker.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumRoutes = 2000;
constexpr std::size_t maximumPools = 1000;
constexpr std::size_t maximumHostsOfPool = 1000;
constexpr std::size_t maximumPathBytes = 200;
constexpr std::int64_t maximumRunMilliseconds = std::int64_t{7} * 24 * 3600 * 1000;
constexpr std::int64_t maximumSlots = 1024;
constexpr std::int64_t maximumConnections = 4096;

// A request that is forwarded to a peer must fit into one message of 4 MB together with its other fields.
constexpr std::int64_t maximumBodyLimitBytes = std::int64_t{3} * 1024 * 1024;

// The error budget of an objective above 0.99999 is too small for the resolution of the reports.
constexpr double minimumObjective = 0.5;
constexpr double maximumObjective = 0.99999;

// With a share of zero, long jobs could never start.
constexpr double minimumLongJobShare = 0.01;

constexpr std::string_view reservedPath = "/v1";

bool isPathCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '-'
        || character == '.' || character == '_' || character == '~';
}

/** Whether the path is absolute and its segments contain only unreserved characters, so that it has exactly one spelling. */
bool isPath(std::string_view path)
{
    if (path.empty() || path.front() != '/') {
        return false;
    }

    while (!path.empty()) {
        path.remove_prefix(1);
        const std::string_view segment = path.substr(0, path.find('/'));
        if (segment.empty() || segment == "." || segment == ".." || !std::all_of(segment.begin(), segment.end(), isPathCharacter)) {
            return false;
        }
        path.remove_prefix(segment.size());
    }
    return true;
}

std::string readPath(json_checker checker)
{
    std::string path = checker.text(1, maximumPathBytes);
    if (path.empty()) {
        return path;
    }

    if (!isPath(path)) {
        checker.fail(result_code::invalid_value, "a path consists of segments of letters, digits, '-', '.', '_' and '~', each preceded by '/'");
    } else if (path == reservedPath || path.starts_with(std::string(reservedPath) + "/")) {
        checker.fail(result_code::invalid_value, "/v1 and the paths below it are reserved for parsleyglade");
    }
    return path;
}

route readRoute(json_checker checker)
{
    route value;
    if (!checker.checkObject({"name", "method", "path", "pool", "idempotent", "urgency", "deadlineMilliseconds", "declaredRunMilliseconds", "maximumBodyBytes",
                              "team", "cancellable"})) {
        return value;
    }

    value.name = checker.member("name").identifier();
    value.method = checker.member("method").oneOf({"GET", "POST", "PUT", "PATCH", "DELETE"});
    value.path = readPath(checker.member("path"));
    value.pool = checker.member("pool").identifier();
    value.idempotent = checker.member("idempotent").boolean();
    value.urgency = checker.member("urgency").oneOf({"normal", "urgent"}) == "urgent" ? urgency::urgent : urgency::normal;
    value.deadlineMilliseconds = checker.member("deadlineMilliseconds").integer(1, maximumRunMilliseconds);
    value.declaredRunMilliseconds = checker.member("declaredRunMilliseconds").integer(1, maximumRunMilliseconds);
    value.maximumBodyBytes = checker.member("maximumBodyBytes").integer(0, maximumBodyLimitBytes);
    value.team = checker.member("team").identifier();
    value.cancellable = checker.member("cancellable").boolean();
    return value;
}

pool_host readHost(json_checker checker)
{
    pool_host value;
    if (!checker.checkObject({"host", "dataCentre", "rack", "address"})) {
        return value;
    }

    value.host = checker.member("host").identifier();
    value.dataCentre = checker.member("dataCentre").identifier();
    value.rack = checker.member("rack").identifier();
    value.address = checker.member("address").address();
    return value;
}

std::vector<pool_host> readHosts(json_checker checker)
{
    std::vector<pool_host> hosts;
    const std::vector<json_checker> elements = checker.elements(0, maximumHostsOfPool);
    hosts.reserve(elements.size());
    for (const json_checker &element : elements) {
        hosts.push_back(readHost(element));
    }
    return hosts;
}

pool readPool(json_checker checker)
{
    pool value;
    if (!checker.checkObject({"name", "service", "region", "spare", "availabilityObjective", "minimumHosts", "slotsPerHost", "connectionsPerHost",
                              "longJobSlotShare", "team", "hosts"})) {
        return value;
    }

    value.name = checker.member("name").identifier();
    value.service = checker.member("service").identifier();
    value.region = checker.member("region").identifier();
    value.spare = checker.member("spare").boolean();
    value.availabilityObjective = checker.member("availabilityObjective").number(minimumObjective, maximumObjective);
    // All hosts of a spare pool may be lent to other pools. Any other pool retains at least one host for its own service.
    value.minimumHosts = checker.member("minimumHosts").integer(value.spare ? 0 : 1, maximumHostsOfPool);
    value.slotsPerHost = checker.member("slotsPerHost").integer(1, maximumSlots);
    value.connectionsPerHost = checker.member("connectionsPerHost").integer(1, maximumConnections);
    value.longJobSlotShare = checker.member("longJobSlotShare").number(minimumLongJobShare, 1.0);
    value.team = checker.member("team").identifier();

    json_checker hosts = checker.member("hosts");
    const bool isEmptyPool = hosts.isEmptyArray();
    if (isEmptyPool) {
        hosts.fail(result_code::empty_pool, "the pool \"" + value.name + "\" has no hosts");
    }
    value.hosts = readHosts(hosts);
    return value;
}

/** Parses one table and returns its entries. Appends all failures to the list. */
template <typename Entry>
std::vector<Entry> readTable(std::string_view text, std::string_view key, std::size_t maximumEntries, Entry (*read)(json_checker),
                             std::vector<failure> &failures)
{
    const outcome<nlohmann::json> document = json_checker::parse(text, maximumTableBytes);
    if (!document) {
        for (failure each : document.failures()) {
            each.reason = std::string(key) + " table: " + each.reason;
            failures.push_back(std::move(each));
        }
        return {};
    }

    std::vector<Entry> entries;
    json_checker root(*document, failures);
    if (root.checkObject({key})) {
        for (const json_checker &element : root.member(key).elements(0, maximumEntries)) {
            entries.push_back(read(element));
        }
    }
    return entries;
}

/** Checks the size of the canonical form, which is written to the log and therefore has the same limit as the received text. */
void checkCanonicalSize(std::string_view key, std::size_t sizeBytes, std::vector<failure> &failures)
{
    if (sizeBytes > maximumTableBytes) {
        failures.push_back({result_code::table_too_large,
                            std::string(key) + " table: " + std::to_string(sizeBytes) + " bytes in canonical form; at most " + std::to_string(maximumTableBytes)
                                + " are allowed",
                            {}});
    }
}

/** Whether a failure makes the entries unknown, or the names by which they are joined. */
bool preventsJoin(const failure &found)
{
    const std::string &pointer = found.pointer;
    const bool isWholeTable = pointer.empty() || pointer == "/routes" || pointer == "/pools";
    const bool isPoolKey = pointer.compare(0, 7, "/pools/") == 0 && (pointer.ends_with("/name") || pointer.ends_with("/hosts") || pointer.ends_with("/host"));
    return isWholeTable || isPoolKey;
}

/**
 * Adds the violated constraints between entries, unless an earlier failure prevents the join. A value that already has a failure of its
 * own is not reported a second time.
 */
void addJoinFailures(std::vector<route> routes, std::vector<pool> pools, std::vector<failure> &failures)
{
    if (std::any_of(failures.begin(), failures.end(), preventsJoin)) {
        return;
    }

    const outcome<tables> joined = tables::join(std::move(routes), std::move(pools));
    for (const failure &found : joined.failures()) {
        const bool isKnown = std::any_of(failures.begin(), failures.end(), [&](const failure &known) { return known.pointer == found.pointer; });
        if (!isKnown && failures.size() < json_checker::maximumFailures) {
            failures.push_back(found);
        }
    }
}

} // namespace

outcome<tables> parseTables(std::string_view routesJson, std::string_view poolsJson)
{
    std::vector<failure> failures;
    std::vector<route> routes = readTable<route>(routesJson, "routes", maximumRoutes, readRoute, failures);
    std::vector<pool> pools = readTable<pool>(poolsJson, "pools", maximumPools, readPool, failures);
    if (!failures.empty()) {
        addJoinFailures(std::move(routes), std::move(pools), failures);
        return failures;
    }

    outcome<tables> joined = tables::join(std::move(routes), std::move(pools));
    if (!joined) {
        return joined;
    }

    checkCanonicalSize("routes", joined->routes().canonicalJson().size(), failures);
    checkCanonicalSize("pools", joined->pools().canonicalJson().size(), failures);
    if (!failures.empty()) {
        return failures;
    }
    return joined;
}

} // namespace parsleyglade
