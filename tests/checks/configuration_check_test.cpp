#include "checks/checks.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace parsleyglade;

namespace {

team_policy makeTeam(std::string name, const std::vector<std::string> &keys)
{
    team_policy team;
    team.name = std::move(name);
    team.weight = 2;
    for (const std::string &key : keys) {
        team.keyDigests.push_back(digestOfKey(key));
    }
    return team;
}

/** A configuration without findings. */
queue_configuration makeConfiguration()
{
    queue_configuration configuration;
    configuration.version = 7;
    for (const std::string name : {"first", "second"}) {
        queue_policy queue;
        queue.name = name;
        queue.host = "jobs.example";
        queue.pathPrefix = '/' + name + '/';
        queue.service = "service";
        queue.stretch = 1.6;
        queue.targetMilliseconds = 600;
        configuration.queues.push_back(queue);
    }
    configuration.services = {{"service", false, false}, {"spare", false, true}};
    configuration.hasTeams = true;
    configuration.teams = {makeTeam("red", {"red-key"}), makeTeam("blue", {"blue-key"})};
    return configuration;
}

std::vector<configuration_finding> check(queue_configuration configuration)
{
    configuration.keys = key_directory(configuration.teams);
    return checkConfiguration(configuration);
}

} // namespace

// Guards against a configuration that is sent although an entry of it can never match, contradicts another, or has no effect.
TEST_CASE("each fault of a configuration is found at its place", "[checks]")
{
    using section = configuration_section;
    using field = configuration_field;
    struct row
    {
        std::string fault;
        std::function<void(queue_configuration &)> spoil;
        finding_severity severity;
        section list;
        std::size_t index;
        field where;
    };
    const auto error = finding_severity::error;
    const auto warning = finding_severity::warning;
    const std::vector<row> rows{
        {"queue without a name", [](auto &c) { c.queues[1].name.clear(); }, error, section::queues, 1, field::name},
        {"name used twice", [](auto &c) { c.queues[1].name = "first"; }, error, section::queues, 1, field::name},
        {"same prefix", [](auto &c) { c.queues[1].pathPrefix = "/first/"; }, error, section::queues, 1, field::path_prefix},
        {"prefix without a slash", [](auto &c) { c.queues[0].pathPrefix = "first/"; }, error, section::queues, 0, field::path_prefix},
        {"prefix that ends in a name", [](auto &c) { c.queues[0].pathPrefix = "/first"; }, warning, section::queues, 0, field::path_prefix},
        {"host with a port", [](auto &c) { c.queues[0].host = "jobs.example:80"; }, error, section::queues, 0, field::host},
        {"host in upper case", [](auto &c) { c.queues[0].host = "Jobs.example"; }, warning, section::queues, 0, field::host},
        {"unknown service", [](auto &c) { c.queues[0].service = "other"; }, error, section::queues, 0, field::service},
        {"service on standby", [](auto &c) { c.queues[0].service = "spare"; }, error, section::queues, 0, field::service},
        {"no attempt", [](auto &c) { c.queues[0].maximumAttempts = 0; }, error, section::queues, 0, field::maximum_attempts},
        {"objective shorter than the work", [](auto &c) { c.queues[0].stretch = 0.9; }, error, section::queues, 0, field::stretch},
        {"advice that expires at once",
         [](auto &c) {
             c.queues[0].advice = advice_policy{100, 10, 50};
         },
         error, section::queues, 0, field::advice},
        {"service that nobody uses",
         [](auto &c) {
             c.services.push_back({"idle", false, false});
         },
         warning, section::services, 2, field::entry},
        {"team without a key", [](auto &c) { c.teams[1].keyDigests.clear(); }, warning, section::teams, 1, field::keys},
        {"key of two teams", [](auto &c) { c.teams[1].keyDigests = c.teams[0].keyDigests; }, error, section::teams, 1, field::keys},
        {"weight of zero", [](auto &c) { c.teams[0].weight = 0; }, warning, section::teams, 0, field::weight},
        {"negative cap", [](auto &c) { c.teams[0].cap.cpuMillicores = -1; }, error, section::teams, 0, field::cap},
    };
    CHECK(check(makeConfiguration()).empty());
    for (const row &row : rows) {
        INFO(row.fault);
        queue_configuration configuration = makeConfiguration();
        row.spoil(configuration);
        const auto findings = check(configuration);
        REQUIRE(findings.size() == 1);
        CHECK(findings[0].severity == row.severity);
        CHECK(findings[0].section == row.list);
        CHECK(findings[0].index == row.index);
        CHECK(findings[0].field == row.where);
        CHECK_FALSE(findings[0].text.empty());
    }
}

// Guards against a configuration that locks every caller out.
TEST_CASE("queues that need a key are an error when no team has one", "[checks]")
{
    queue_configuration configuration = makeConfiguration();
    configuration.teams.clear();
    configuration.queues[1].isPublic = true;
    const auto findings = check(configuration);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].index == 0);
    CHECK(findings[0].field == configuration_field::is_public);
}

// Guards against a change that goes unseen, and against keys that are shown.
TEST_CASE("the differences from the configuration in force are named field by field", "[checks]")
{
    const queue_configuration inForce = makeConfiguration();
    CHECK(compareConfigurations(inForce, inForce).empty());

    queue_configuration next = makeConfiguration();
    next.queues[0].targetMilliseconds = 900;
    next.queues[1].name = "third";
    next.services[1].standby = false;
    next.teams[0] = makeTeam("red", {"new-key", "other-key"});
    next.teams[1].cap.cpuMillicores = 4'000;
    check_report report;
    report.version = 8;
    report.inForceVersion = 7;
    report.differences = compareConfigurations(inForce, next);
    CHECK(renderText(report)
          == "configuration 8: no findings\n"
             "from version 7 to this one:\n"
             "changed queue first\n"
             "    targetMilliseconds: 600 -> 900\n"
             "removed queue second\n"
             "added queue third\n"
             "changed service spare\n"
             "    standby: true -> false\n"
             "changed team blue\n"
             "    cap: 0 millicores, 0 MB, 0 accelerators -> 4000 millicores, 0 MB, 0 accelerators\n"
             "changed team red\n"
             "    keys: 1 -> 2 (2 new, 1 withdrawn)\n");
    CHECK(renderJson(report).find("new-key") == std::string::npos);
    CHECK_FALSE(report.hasErrors());
}
