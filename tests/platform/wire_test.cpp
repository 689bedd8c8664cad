#include "configuration_file_check.h"
#include "control/entry_host_settings.h"
#include "platform_decoder.h"
#include "platform_executors.h"
#include "platform_http_api.h"
#include "scheduler/job_records.h"
#include "source_file.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <regex>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

http_result makeResponse(int status, std::string body)
{
    http_result response;
    response.delivery = http_delivery::responded;
    response.status = status;
    response.body = std::move(body);
    return response;
}

http_result makeMissingResponse(http_delivery delivery)
{
    http_result response;
    response.delivery = delivery;
    return response;
}

constexpr const char *registryEntry = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Capacity":{"Cpu":16000,"MemMb":32768},)"
                                      R"("Labels":["a","r1-3"],"ClockMs":482113,"Seq":4,"born":1700000000000})";

} // namespace

// Guards against a rejected order that is mistaken for one that may have been carried out, or the reverse.
TEST_CASE("responses of executors map to order results", "[wire]")
{
    struct row
    {
        http_result response;
        order_result expected;
    };
    const std::vector<row> rows{
        {makeResponse(200, R"({"ClockMs":7})"), order_result::done},
        {makeResponse(409, R"({"ClockMs":7,"Reason":"fence"})"), order_result::fenced},
        {makeResponse(409, R"({"Reason":"old"})"), order_result::superseded},
        {makeResponse(409, R"({"Reason":"late"})"), order_result::late},
        {makeResponse(409, R"({"Reason":"room"})"), order_result::insufficient_capacity},
        {makeResponse(409, R"({"Reason":"ticket"})"), order_result::no_ticket},
        {makeResponse(409, R"({"Reason":"something new"})"), order_result::invalid},
        {makeResponse(421, ""), order_result::other_boot},
        {makeResponse(429, ""), order_result::unhealthy},
        {makeResponse(503, ""), order_result::unhealthy},
        {makeResponse(500, ""), order_result::unanswered},
        {makeMissingResponse(http_delivery::failed), order_result::unanswered},
        {makeMissingResponse(http_delivery::not_sent), order_result::not_sent},
        {makeMissingResponse(http_delivery::unreachable), order_result::unreachable},
    };
    for (const row &row : rows) {
        CHECK(toOrderResponse(row.response).result == row.expected);
    }
    CHECK(toOrderResponse(rows.front().response).clockMilliseconds == 7);
}

// Guards against a malformed row that hides the other rows of a poll response.
TEST_CASE("a poll response is decoded, and malformed rows are skipped", "[wire]")
{
    const auto poll
        = toPollResponse(makeResponse(200,
                                      R"({"ClockMs":482113,"born":5,"Running":[["5c0e.0.1.17",2,"save",41,7],["bad",1],7],)"
                                      R"("Finished":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.8",3,"lapsed","x"],[60,"5c0e.0.1.7",1,"odd",""]]})"));
    REQUIRE(poll.result == order_result::done);
    CHECK(poll.boot == 5);
    REQUIRE(poll.running.size() == 1);
    CHECK(poll.running[0].task == task_id{"5c0e", 0, 1, 17});
    CHECK(poll.running[0].run == 2);
    CHECK(poll.running[0].checkpoint == "save");
    CHECK(poll.running[0].progress == 41);
    CHECK(poll.running[0].measured == 7);
    REQUIRE(poll.finished.size() == 2);
    CHECK(poll.finished[0].end == run_end::done);
    CHECK(poll.finished[1].number == 59);
    CHECK(poll.finished[1].end == run_end::lapsed);

    CHECK(toPollResponse(makeResponse(200, "no JSON")).result == order_result::unanswered);
}

// Guards against task IDs with missing, surplus or non-numeric parts that are accepted.
TEST_CASE("only well-formed task IDs are parsed", "[wire]")
{
    CHECK(parseTask("a.1.2.3") == task_id{"a", 1, 2, 3});
    for (const char *text : {"", "a", "a.1.2", "a.1.2.3.4", "a.1.2.x", "a..2.3", "a.1.2.3 "}) {
        CHECK_FALSE(parseTask(text));
    }
    rc::prop("a task ID survives formatting and parsing", [](int occurrence, int step, int index) {
        const task_id task{"5c0e7a21d94b36f8", std::abs(occurrence % 1000), std::abs(step % 100), std::abs(index % 10'000)};
        RC_ASSERT(parseTask(toText(task)) == task);
    });
}

// Guards against incomplete or malformed registry entries that are scheduled on.
TEST_CASE("a registry entry is decoded only when it is complete", "[wire]")
{
    const platform_decoder decoder;
    const auto executor = decoder.decodeExecutor("i-1", registryEntry);
    REQUIRE(executor);
    CHECK(executor->id == "i-1");
    CHECK(executor->rack == "r1-3");
    CHECK(executor->capacity == resources{16'000, 32'768, 0});
    CHECK(executor->clockMilliseconds == 482113);
    CHECK_FALSE(executor->draining);

    const std::string completeEntry(registryEntry);
    const auto decodeWith = [&](const std::string &from, const std::string &to) {
        std::string changed = completeEntry;
        changed.replace(changed.find(from), from.size(), to);
        return decoder.decodeExecutor("i-1", changed);
    };
    CHECK(decodeWith("\"ready\"", "\"draining\"")->draining);
    CHECK_FALSE(decodeWith("\"ready\"", "\"resting\""));
    CHECK_FALSE(decodeWith("\"ready\"", "7"));
    CHECK_FALSE(decodeWith("10.0.0.1:80", "somewhere"));
    CHECK_FALSE(decodeWith("\"s\"", "null"));
    CHECK_FALSE(decodeWith("[\"a\",\"r1-3\"]", "[1]"));
    CHECK_FALSE(decodeWith("{\"Cpu\":16000,\"MemMb\":32768}", "\"large\""));
    for (const std::string &value : {std::string(), std::string("\xff\xfe"), std::string("[]"), std::string("{")}) {
        CHECK_FALSE(decoder.decodeExecutor("i-1", value));
    }
}

// Guards against requests that are sent to the queue of a shorter path prefix, and against a configuration without a version.
TEST_CASE("the configuration selects a queue by host and longest path prefix", "[wire]")
{
    const platform_decoder decoder;
    const auto configuration = decoder.decodeConfiguration(
        R"({"Version":7,"Routes":[{"Name":"r1","Host":"h.example","PathPrefix":"/a/","Service":"s","MaxAttempts":4,"Stretch":1.6,"TargetLatencyMs":600},)"
        R"({"Name":"r2","Host":"h.example","PathPrefix":"/a/b/","Service":"t","Advice":{"DecisionMs":3,"PerWorkerMs":1,"ValidMs":9}}],)"
        R"("Services":[{"Name":"s","Standby":true,"AdmissionCheck":true}]})");
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    CHECK(configuration->match("h.example", "/a/x")->name == "r1");
    CHECK(configuration->match("h.example", "/a/b/x")->name == "r2");
    CHECK(configuration->match("other.example", "/a/x") == nullptr);
    CHECK(configuration->findQueue("r2")->advice->validMilliseconds == 9);
    CHECK(configuration->services[0].standby);
    CHECK_FALSE(decoder.decodeConfiguration("{}"));
}

// Guards against malformed submissions that are accepted, and against wrong defaults of omitted fields.
TEST_CASE("a submission is parsed, with defaults for omitted fields", "[wire]")
{
    const auto work = parseWork(R"j({"Spec":"(text)","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900,"Affinity":"r1-3"},)j"
                                R"({"Count":20,"Cpu":2000,"After":[0],"Checkpointing":true,"MayMiss":1,"AntiAffinity":2}]})");
    REQUIRE(work);
    CHECK(work->payload == "(text)");
    REQUIRE(work->steps.size() == 2);
    CHECK(work->steps[0].preferredRack == "r1-3");
    CHECK(work->steps[0].maximumAway == -1);
    CHECK(work->steps[1].after == std::vector<int>{0});
    CHECK(work->steps[1].checkpointing);
    CHECK(work->steps[1].maximumAway == 1);
    CHECK_FALSE(findWorkFault(*work));

    for (const char *body : {"", "[]", "{}", R"({"Steps":7})", R"({"Steps":[7]})", R"({"Steps":[{"After":["x"]}]})"}) {
        CHECK_FALSE(parseWork(body));
    }
    for (const char *body : {R"({"Steps":[]})", R"({"Steps":[{"Count":0}]})", R"({"Steps":[{"Count":1,"After":[0]}]})", R"({"Steps":[{"Count":9999999}]})"}) {
        const auto invalidWork = parseWork(body);
        REQUIRE(invalidWork);
        CHECK(findWorkFault(*invalidWork));
    }
}

// Guards against changes of the format of waves and of their status records.
TEST_CASE("a maintenance wave is decoded, and its status is encoded", "[wire]")
{
    const platform_decoder decoder;
    CHECK(decoder.isWave("wave/1"));
    CHECK_FALSE(decoder.isWave("config"));
    const auto wave = decoder.decodeWave(R"({"Wave":1,"Machines":["m-1","m-2"],"WithinS":20.5,"Cap":3})");
    REQUIRE(wave);
    CHECK(wave->hosts == std::set<std::string>{"m-1", "m-2"});
    CHECK(wave->within == 20500ms);
    CHECK(wave->cap == 3);
    CHECK(decoder.encodeWaveStatus(1, true).key == "wave/1");
    CHECK(decoder.encodeWaveStatus(1, true).value == R"({"State":"completed"})");
    CHECK(decoder.encodeWaveStatus(1, false).value == R"({"State":"running"})");
}

// Guards against a deployment template that no longer matches the settings parser, and against one with sections, which not every renderer fills in. A value
// that the deployment does not have comes out empty, or stays a placeholder where the renderer does not know its name.
TEST_CASE("the filled-in settings template is accepted by the settings parser", "[wire]")
{
    struct optional_values
    {
        std::string strict;
        std::string bound;
        std::string factor;
        std::optional<duration> expectedBound;
        double expectedFactor = 1.0;
    };
    const auto optional = GENERATE(values<optional_values>({{"true", "7000", "1.5", 7s, 1.5},
                                                            {"false", "7000", "3", std::nullopt, 3.0},
                                                            {"", "7000", "", std::nullopt, 1.0},
                                                            {"", "", "", std::nullopt, 1.0},
                                                            {"$&", "$&", "$&", std::nullopt, 1.0}}));
    std::string text = readSourceFile("deploy/node.json.template");
    CHECK(text.find("{{#") == std::string::npos);
    CHECK(text.find("{{^") == std::string::npos);
    const std::vector<std::pair<std::string, std::string>> fields{
        {"\\{\\{Bounds\\.StrictRevoke\\}\\}", optional.strict},
        {"\\{\\{Bounds\\.RevokeMs\\}\\}", optional.bound},
        {"\\{\\{Bounds\\.RemoteFactor\\}\\}", optional.factor},
        {"\\{\\{(Listen\\.\\w+|platform\\.Address)\\|json\\}\\}", "\"10.0.0.1:80\""},
        {"\\{\\{\\w+\\|json\\}\\}", "\"name\""},
        {"\\{\\{Ip\\}\\}", "10.0.0.1"},
        {"\\{\\{(CloudApi\\.Address|Advice)\\}\\}", "10.0.0.2:81"},
        {"\\{\\{Bounds\\.GraceS\\}\\}", "6.5"},
        {"\\{\\{Limits\\.CpuShare\\}\\}", "0.12"},
        {"\\{\\{(InternalPorts\\.\\d|Bounds\\.(MaxHoldMs|ConfigApplyMs|LeaseMs)|Limits\\.MaxFds)\\}\\}", "7000"}};
    for (const auto &[placeholder, value] : fields) {
        text = std::regex_replace(text, std::regex(placeholder), value);
    }
    const auto settings = parseEntryHostSettings(text);
    INFO((settings ? std::string() : settings.lastReason().pointer + ' ' + settings.lastReason().reason));
    REQUIRE(settings);
    CHECK(settings->peerAddress == "10.0.0.1:7000");
    CHECK(settings->hostServiceAddress == "10.0.0.2:81");
    CHECK(settings->gracePeriod == 6500ms);
    CHECK(settings->maximumLease == 7s);
    CHECK(settings->configurationBound == 7s);
    CHECK(settings->processorShare == 0.12);
    CHECK(settings->remoteRunFactor == optional.expectedFactor);
    CHECK(settings->revocationBound == optional.expectedBound);
}

// Guards against an optional value that is taken for absent although it is wrong, and against settings without "strictRevocation" that lose their bound.
TEST_CASE("optional settings may be numbers or text, and a wrong one is an error", "[wire]")
{
    const auto parse = [](const std::string &more) {
        return parseEntryHostSettings(R"({"entryHost":"a","dataCentre":"b","region":"c","callerAddress":"10.0.0.1:1","readinessAddress":"10.0.0.1:2",)"
                                      R"("peerAddress":"10.0.0.1:3","storeAddress":"10.0.0.2:1","sharedKey":"k","gracePeriodSeconds":6,)"
                                      R"("maximumLeaseMilliseconds":6000,"hostOrderLeaseMilliseconds":3000)"
                                      + more + "}");
    };
    const auto plain = parse(R"(,"remoteRunFactor":1.5,"revocationBoundMilliseconds":7000)");
    REQUIRE(plain);
    CHECK(plain->remoteRunFactor == 1.5);
    CHECK(plain->revocationBound == std::optional<duration>(7s));
    const auto notStrict = parse(R"(,"revocationBoundMilliseconds":7000,"strictRevocation":false)");
    REQUIRE(notStrict);
    CHECK_FALSE(notStrict->revocationBound.has_value());
    for (const char *wrong :
         {R"(,"remoteRunFactor":"fast")", R"(,"remoteRunFactor":"0.5")", R"(,"remoteRunFactor":0.5)", R"(,"remoteRunFactor":"1.5x")",
          R"(,"revocationBoundMilliseconds":"-1")", R"(,"revocationBoundMilliseconds":true)", R"(,"strictRevocation":"perhaps")", R"(,"strictRevocation":1)"}) {
        INFO(wrong);
        CHECK_FALSE(parse(wrong));
    }
}

// Guards against a parser that accepts invalid settings or stops at the first error.
TEST_CASE("invalid settings are rejected with all errors", "[wire]")
{
    CHECK_FALSE(parseEntryHostSettings("{"));
    const auto settings = parseEntryHostSettings(R"({"entryHost":"a","unknown":1})");
    REQUIRE_FALSE(settings);
    CHECK(settings.failures().size() > 5);
}

// Guards against keys, weights or caps that are read wrongly, and against a deployment without teams that suddenly needs keys.
TEST_CASE("teams, their keys, weights and caps are decoded, and a configuration without them needs no keys", "[wire]")
{
    const platform_decoder decoder;
    const auto with = decoder.decodeConfiguration(
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Service":"s","Public":false},{"Name":"o","Host":"h","PathPrefix":"/o/","Service":"s",)"
        R"("Public":true}],"Tenants":[{"Name":"red","ApiKeys":["k1","k2"],"Priority":1,"Weight":2.5,"Cap":{"Cpu":4000,"MemMb":512,"Gpus":0}},7,{"Name":"blue"}]})");
    REQUIRE(with);
    CHECK(with->hasTeams);
    REQUIRE(with->teams.size() == 2);
    CHECK(with->teams[0].priority == 1);
    CHECK(with->teams[0].weight == 2.5);
    CHECK(with->teams[0].cap == resources{4'000, 512, 0});
    REQUIRE(with->keys.findTeam(digestOfKey("k2")) != nullptr);
    CHECK(*with->keys.findTeam(digestOfKey("k2")) == "red");
    CHECK(with->needsKey(with->queues[0]));
    CHECK_FALSE(with->needsKey(with->queues[1]));

    const auto without = decoder.decodeConfiguration(R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Service":"s"}]})");
    REQUIRE(without);
    CHECK_FALSE(without->needsKey(without->queues[0]));

    // The last team has been withdrawn: its queues must not become open to everybody.
    const auto withdrawn
        = decoder.decodeConfiguration(R"({"Version":8,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Service":"s","Public":false}],"Tenants":[]})");
    REQUIRE(withdrawn);
    CHECK(withdrawn->needsKey(withdrawn->queues[0]));
}

// Guards against a fault that is reported at the wrong place of the operator's file.
TEST_CASE("findings of a configuration file have JSON pointers in the operator's names", "[wire]")
{
    const std::string good = R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Service":"s","MaxAttempts":2,"Stretch":1.6}],)"
                             R"("Services":[{"Name":"s"}]})";
    const auto clean = checkConfigurationText(good, std::nullopt);
    REQUIRE(clean);
    CHECK(clean->findings.empty());

    const auto repeated = checkConfigurationText(good, good);
    REQUIRE(repeated);
    REQUIRE(repeated->findings.size() == 1);
    CHECK(repeated->findings[0].pointer == "/Version");
    CHECK(repeated->differences.empty());

    const auto faulty
        = checkConfigurationText(R"({"Version":8,"Routes":[{"Name":"r","Host":"h","PathPrefix":"p/","Service":"s"}],"Services":[{"Name":"s"}]})", good);
    REQUIRE(faulty);
    CHECK(faulty->hasErrors());
    CHECK(faulty->findings[0].pointer == "/Routes/0/PathPrefix");

    const auto skipped = checkConfigurationText(R"({"Version":8,"Routes":["x"],"Services":{}})", std::nullopt);
    REQUIRE(skipped);
    REQUIRE(skipped->findings.size() == 2);
    CHECK(skipped->findings[0].pointer == "/Routes/0");
    CHECK(skipped->findings[1].pointer == "/Services");

    CHECK_FALSE(checkConfigurationText("[]", std::nullopt));
}
