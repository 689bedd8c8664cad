#include "admin_stand_in.h"
#include "broken_server.h"
#include "core/core.h"
#include "operator_client/operator_client.h"
#include "source_file.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace parsleyglade;
using nlohmann::json;

namespace {

const std::string refusedAddress = "127.0.0.1:1";

/** Table files of an example deployment in a temporary folder, with an optional change of the routes table. */
struct example_files
{
    explicit example_files(const std::function<void(json &)> &editRoutes = {})
        : folder(std::filesystem::temp_directory_path() / ("parsleyglade-test-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder);
        json routes = json::parse(readSourceFile("examples/hung-phat/routes.json"));
        if (editRoutes) {
            editRoutes(routes);
        }
        paths = {(folder / "routes.json").string(), (folder / "pools.json").string()};
        std::ofstream(paths.routes) << routes.dump(2);
        std::ofstream(paths.pools) << readSourceFile("examples/hung-phat/pools.json");
    }

    example_files(const example_files &) = delete;
    example_files &operator=(const example_files &) = delete;

    ~example_files()
    {
        std::filesystem::remove_all(folder);
    }

    std::filesystem::path folder;
    table_files paths;
};

json tablesResponse(revision_number revision)
{
    return {{"revision", revision},
            {"digest", "aa"},
            {"routes", json::parse(readSourceFile("examples/hung-phat/routes.json"))},
            {"pools", json::parse(readSourceFile("examples/hung-phat/pools.json"))}};
}

/** Operator commands with the given admin addresses, and their captured output. */
struct client_fixture
{
    client_fixture(event_loop &loop, std::vector<std::string> addresses, bool isJson = false, duration timeout = std::chrono::seconds{5})
        : client(loop, std::move(addresses), "secret", timeout)
        , output{result, messages, isJson, false}
        , commands(client, output, std::mt19937_64(1))
    {
    }

    std::ostringstream result;
    std::ostringstream messages;
    admin_client client;
    command_output output;
    operator_commands commands;
};

struct response_case
{
    int status;
    std::string body;
    exit_code code;
};

} // namespace

// Guards against exit codes that report a failure as success, or as another kind of failure.
TEST_CASE("each kind of response to a command maps to its exit code")
{
    const auto expected = GENERATE(values<response_case>({
        {201, R"({"id":"d1","hosts":["lathe-01"]})", exit_code::ok},
        {201, "not json", exit_code::unexpected_response},
        {201, "[]", exit_code::unexpected_response},
        {400, R"({"code":111,"reason":"bad kind"})", exit_code::refused},
        {404, R"({"code":600,"reason":"no such host"})", exit_code::refused},
        {409, R"({"code":602,"reason":"budget"})", exit_code::refused},
        {409, R"({"code":112,"reason":"racing"})", exit_code::revision_conflict},
        {401, "", exit_code::not_authenticated},
        {403, R"({"code":205,"reason":"wrong token"})", exit_code::not_authenticated},
        {404, "<html>", exit_code::unexpected_response},
        {400, R"({"code":99999,"reason":"x"})", exit_code::unexpected_response},
        {400, R"({"code":"x","reason":7})", exit_code::unexpected_response},
        {500, R"({"code":506,"reason":"fault"})", exit_code::unexpected_response},
        {503, R"({"code":213,"reason":"log down"})", exit_code::refused},
        {503, R"({"code":500,"reason":"append unknown"})", exit_code::result_unknown},
    }));
    event_loop loop;
    admin_stand_in server(loop);
    server.setResponder("POST /v1/drains", [&expected] { return admin_response{expected.status, expected.body}; });
    const bool isJson = GENERATE(false, true);
    client_fixture fixture(loop, {server.address()}, isJson);
    INFO(expected.status << " " << expected.body);
    CHECK(fixture.commands.drain({"host", "lathe-01"}, "lan", "bearing noise") == expected.code);
    CHECK(server.requests().size() == 1);
    CHECK(server.requests()[0].authorization == "Bearer secret");
    if (isJson) {
        const json document = json::parse(fixture.result.str());
        CHECK((expected.code == exit_code::ok || document["exitCode"] == static_cast<int>(expected.code)));
    } else {
        CHECK(fixture.messages.str().empty() == (expected.code == exit_code::ok));
    }
}

// Guards against a client that fails although another entry host responds, or that retries a command with a new request identifier.
TEST_CASE("the request is retried at the next address when one is down, unavailable or loses its response")
{
    event_loop loop;
    admin_stand_in unavailable(loop);
    unavailable.setResponse("POST /v1/drains", 503, {{"code", 213}, {"reason", "log down"}});
    broken_server losing(loop, broken_server::behaviour::close_after_bytes, "HTTP/1.1 201 Created\r\nContent-Length: 100\r\n\r\n{");
    admin_stand_in working(loop);
    working.setResponse("POST /v1/drains", 201, {{"id", "d1"}, {"hosts", json::array()}});

    client_fixture fixture(loop, {refusedAddress, unavailable.address(), losing.address(), working.address()});
    CHECK(fixture.commands.drain({"rack", "an-duong-r1"}, "lan", "") == exit_code::ok);
    REQUIRE(unavailable.requests().size() == 1);
    REQUIRE(working.requests().size() == 1);
    CHECK(working.requests()[0].body == unavailable.requests()[0].body);
    CHECK(working.requests()[0].body["request"].is_number_integer());

    // Later commands start with the address that responded, and each command has its own request identifier.
    CHECK(fixture.commands.drain({"rack", "an-duong-r1"}, "lan", "") == exit_code::ok);
    CHECK(unavailable.requests().size() == 1);
    REQUIRE(working.requests().size() == 2);
    CHECK(working.requests()[1].body["request"] != working.requests()[0].body["request"]);
}

// Guards against reporting that nothing was changed although a command may have taken effect.
TEST_CASE("a lost response to a command makes the result unknown, and a failed connection means that nothing was changed")
{
    event_loop loop;
    const std::string bytes = GENERATE(as<std::string>{}, "", "HTTP/1.1 201 Created\r\nContent-Length: 100\r\n\r\n{", "HTTP/1.1 2");
    broken_server losing(loop, broken_server::behaviour::close_after_bytes, bytes);
    client_fixture lost(loop, {losing.address(), refusedAddress});
    CHECK(lost.commands.drain({"host", "lathe-01"}, "lan", "") == exit_code::result_unknown);
    CHECK(lost.commands.status() == exit_code::unreachable);

    client_fixture refused(loop, {refusedAddress});
    CHECK(refused.commands.drain({"host", "lathe-01"}, "lan", "") == exit_code::unreachable);
}

// Guards against waiting forever for a server that hangs, or that keeps the connection active by sending single bytes.
TEST_CASE("an HTTP exchange ends within its timeouts")
{
    event_loop loop;
    const auto mode = GENERATE(broken_server::behaviour::keep_open, broken_server::behaviour::send_slowly);
    broken_server hanging(loop, mode, "HTTP/1.1 200 OK\r\nX-Filler: " + std::string(10000, 'x'));
    client_fixture fixture(loop, {hanging.address()}, false, std::chrono::milliseconds{200});
    const time_point start = loop.now();
    CHECK(fixture.commands.planWave({}) == exit_code::result_unknown);
    CHECK(loop.now() - start >= std::chrono::milliseconds{190});
    CHECK(loop.now() - start < std::chrono::seconds{2});
}

// Guards against publishing with another base revision or other tables than the operator specified.
TEST_CASE("publish sends both tables with the base revision, author and note")
{
    event_loop loop;
    admin_stand_in server(loop);
    server.setResponse("POST /v1/publish", 200, {{"revision", 8}, {"offset", 40}, {"digest", "aa"}});
    const example_files files;
    client_fixture fixture(loop, {server.address()});
    publish_options options;
    options.baseRevision = 7;
    options.author = "lan";
    options.note = "new lathe";
    CHECK(fixture.commands.publish(files.paths, options) == exit_code::ok);
    CHECK(fixture.result.str() == "published as revision 8\n");
    REQUIRE(server.requests().size() == 1);
    const json &body = server.requests()[0].body;
    CHECK(body["baseRevision"] == 7);
    CHECK(body["author"] == "lan");
    CHECK(body["note"] == "new lathe");
    const auto sent = parseTables(body["routes"].dump(), body["pools"].dump());
    REQUIRE(sent.hasValue());
    CHECK(sent->pools().hostCount() == 50);
}

// Guards against sending invalid tables, and against errors that are reported without their position and remedy.
TEST_CASE("invalid tables and unreadable files are refused without contacting a server")
{
    event_loop loop;
    admin_stand_in server(loop);
    const example_files files([](json &routes) { routes["routes"][2]["pool"] = "mill"; });
    client_fixture fixture(loop, {server.address()});
    CHECK(fixture.commands.publish(files.paths, {}) == exit_code::refused);
    CHECK(fixture.messages.str().find("/routes/2/pool: unknown_pool (105): ") == 0);
    CHECK(fixture.commands.publish({files.paths.routes + "-missing", files.paths.pools}, {}) == exit_code::usage);
    CHECK(server.requests().empty());

    client_fixture asJson(loop, {server.address()}, true);
    CHECK(operator_commands::validate(files.paths, asJson.output) == exit_code::refused);
    CHECK(json::parse(asJson.result.str())["failures"][0]["pointer"] == "/routes/2/pool");
}

// Guards against a conflict report without the changes that the operator has to merge.
TEST_CASE("a revision conflict shows the differences from the current tables")
{
    event_loop loop;
    admin_stand_in server(loop);
    server.setResponse("POST /v1/publish", 409, {{"code", 112}, {"reason", "based on 7, current is 9"}});
    server.setResponse("GET /v1/tables", 200, tablesResponse(9));
    const example_files files([](json &routes) { routes["routes"][0]["deadlineMilliseconds"] = 11000; });
    publish_options options;
    options.baseRevision = 7;

    client_fixture fixture(loop, {server.address()});
    CHECK(fixture.commands.publish(files.paths, options) == exit_code::revision_conflict);
    CHECK(fixture.messages.str().find("from the current revision 9 to the files:\nchanged route scan-upload\n    deadlineMilliseconds: 10000 -> 11000\n")
          != std::string::npos);

    client_fixture asJson(loop, {server.address()}, true);
    CHECK(asJson.commands.publish(files.paths, options) == exit_code::revision_conflict);
    const json document = json::parse(asJson.result.str());
    CHECK(document["currentRevision"] == 9);
    CHECK(document["diff"]["changes"].size() == 1);
}

// Guards against --wait returning before every entry host has the revision, or never returning.
TEST_CASE("publish --wait returns when every entry host has the revision, or after its timeout")
{
    event_loop loop;
    admin_stand_in server(loop);
    const bool isRolledOut = GENERATE(true, false);
    int polls = 0;
    server.setResponse("POST /v1/publish", 200, {{"revision", 8}});
    server.setResponder("GET /v1/status", [&polls, isRolledOut] {
        ++polls;
        if (polls == 2) {
            return admin_response{503, R"({"code":506,"reason":"busy"})"};
        }
        const bool isDone = isRolledOut && polls > 3;
        const json status = {{"entryHosts",
                              {{{"name", "e1"}, {"asked", true}, {"revision", 8}},
                               {{"name", "e2"}, {"asked", true}, {"revision", isDone ? 9 : 7}},
                               {{"name", "e3"}, {"asked", isDone}, {"revision", 8}}}}};
        return admin_response{200, status.dump()};
    });
    const example_files files;
    client_fixture fixture(loop, {server.address()}, true);
    publish_options options;
    options.wait = true;
    options.waitTimeout = isRolledOut ? std::chrono::milliseconds{10000} : std::chrono::milliseconds{300};
    options.pollInterval = std::chrono::milliseconds{20};
    CHECK(fixture.commands.publish(files.paths, options) == (isRolledOut ? exit_code::ok : exit_code::wait_timed_out));
    const json document = json::parse(fixture.result.str());
    CHECK(document["inForce"] == isRolledOut);
    CHECK(document["pending"].size() == (isRolledOut ? 0 : 2));
    CHECK(fixture.messages.str().find("revision 8 on 1 of 3 entry hosts; waiting for e2 (revision 7), e3 (not reached)") != std::string::npos);
}

// Guards against a rollout that counts as complete because the status lists no entry hosts or none that was reached.
TEST_CASE("a status without reached entry hosts is not a complete rollout")
{
    CHECK_FALSE(rollout_progress::fromStatus(json::object(), 0).isComplete());
    CHECK_FALSE(rollout_progress::fromStatus(json::parse(R"({"entryHosts":[{"name":"e1","revision":5}]})"), 1).isComplete());
    CHECK(rollout_progress::fromStatus(json::parse(R"({"entryHosts":[{"name":"e1","revision":5,"asked":true}]})"), 5).isComplete());
}

// Guards against saving tables in a form that can't be edited and published again.
TEST_CASE("show writes files that validate accepts")
{
    event_loop loop;
    admin_stand_in server(loop);
    server.setResponse("GET /v1/tables", 200, tablesResponse(9));
    const example_files files;
    const table_files saved{files.paths.routes + ".saved", files.paths.pools + ".saved"};
    client_fixture fixture(loop, {server.address()});
    CHECK(fixture.commands.show(saved) == exit_code::ok);
    CHECK(fixture.result.str().find("revision 9") == 0);
    CHECK(operator_commands::validate(saved, fixture.output) == exit_code::ok);
    CHECK(fixture.commands.diff(saved) == exit_code::ok);
    CHECK(fixture.result.str().find("no differences") != std::string::npos);
}

// Guards against drains that remain because the wrong identifier was sent, and against reporting success when there is no such drain.
TEST_CASE("undrain ends each drain of the target")
{
    event_loop loop;
    admin_stand_in server(loop);
    server.setResponse("GET /v1/status", 200,
                       json::parse(R"({"drains":[{"id":"a/1","kind":"host","subject":"lathe-01"},{"id":"2","kind":"rack","subject":"lathe-01"},
                                            {"id":"3","kind":"host","subject":"lathe-01"}]})"));
    server.setResponse("DELETE /v1/drains/a%2f1", 200, {{"id", "a/1"}});
    server.setResponse("DELETE /v1/drains/3", 200, {{"id", "3"}});
    client_fixture fixture(loop, {server.address()});
    CHECK(fixture.commands.undrain({"host", "lathe-01"}) == exit_code::ok);
    CHECK(server.requests().size() == 3);
    CHECK(fixture.commands.undrain({"data-centre", "lathe-01"}) == exit_code::refused);
}

// Guards against request paths that differ from docs/admin-interface.md.
TEST_CASE("wave commands and burn reports use the documented paths")
{
    event_loop loop;
    admin_stand_in server(loop);
    const json wave = {{"id", "w1"}, {"state", "planned"}, {"hostsPlanned", 2}, {"steps", {{{"hosts", {"lathe-01", "lathe-02"}}, {"pools", {"lathe"}}}}}};
    server.setResponse("POST /v1/waves", 201, wave);
    server.setResponse("POST /v1/waves/w1/start", 200, wave);
    server.setResponder("GET /v1/burn?format=text", [] { return admin_response{200, "lathe  0.995\nnot included: e3 (not reached)\n"}; });
    server.setResponder("GET /v1/burn?format=html", [] { return admin_response{200, "<!doctype html>"}; });
    client_fixture fixture(loop, {server.address()});
    CHECK(fixture.commands.planWave({{"lathe"}, {}, {"an-duong"}, "lan", ""}) == exit_code::ok);
    CHECK(server.requests()[0].body["pools"] == json({"lathe"}));
    CHECK(server.requests()[0].body["dataCentres"] == json({"an-duong"}));
    CHECK(fixture.commands.changeWave("w1", "start") == exit_code::ok);
    CHECK(fixture.commands.changeWave("w2", "abort") == exit_code::refused);
    CHECK(fixture.commands.reportBurn("") == exit_code::ok);
    CHECK(fixture.result.str().find("not included: e3 (not reached)") != std::string::npos);

    const example_files files;
    const std::string page = (files.folder / "burn.html").string();
    CHECK(fixture.commands.reportBurn(page) == exit_code::ok);
    CHECK(*readFile(page, 100) == "<!doctype html>");
    CHECK(fixture.commands.reportBurn((files.folder / "none" / "burn.html").string()) == exit_code::usage);
}

// Guards against responses of another version or of a faulty entry host that crash the client or send escape sequences to the terminal.
TEST_CASE("a status with missing or invalid fields is shown with placeholders")
{
    const auto document = GENERATE(as<std::string>{}, "{}", R"({"entryHosts":7,"hosts":[1,null,"x",{"host":5}],"drains":{"a":1}})",
                                   R"({"entryHosts":[{"name":"a\u001b[2J","revision":"x","asked":"yes"}],"waves":[[]],"refusals":[{"code":1e300}]})");
    const std::string text = statusText(json::parse(document));
    CHECK(text.find('\033') == std::string::npos);
    CHECK_FALSE(text.empty());
    CHECK_FALSE(waveText(json::parse(document)).empty());
}

// Guards against a status text that omits information that operators need.
TEST_CASE("the status shows entry hosts, hosts, drains, waves and refusals")
{
    const std::string text = statusText(json::parse(R"({"answeredBy":"e1","wallMilliseconds":1000000,"revision":9,"digest":"abcdef0123456789",
        "entryHosts":[{"name":"e1","dataCentre":"an-duong","asked":true,"revision":9,"digest":"abcdef0123456789","logReachable":true,
                       "knowledgeAgeMilliseconds":15},
                      {"name":"e2","dataCentre":"kien-an","asked":false,"reason":"cut off","revision":8,"knowledgeAgeMilliseconds":61000}],
        "hosts":[{"host":"lathe-01","pool":"lathe","dataCentre":"an-duong","rack":"an-duong-r1","state":"leaving","sinceMilliseconds":940000,
                  "nextStep":"waits for 2 jobs"}],
        "drains":[{"id":"d1","kind":"host","subject":"lathe-01","author":"lan","sinceMilliseconds":940000,"hostsRemaining":1,"reason":"noise"}],
        "waves":[{"id":"w1","state":"paused","hostsPlanned":10,"hostsDone":4,"reason":"burn rate","nextStep":"start"}],
        "refusals":[{"what":"route lathe-path","code":209,"name":"queue_full","reason":"burst","count":7,"remedy":"wait"}]})"));
    for (const char *expected : {"revision 9, digest abcdef012345, as seen by e1", "no: cut off", "not reachable", "61 s", "15 ms", "leaving", "60 s",
                                 "waits for 2 jobs", "d1", "noise", "4 of 10", "burn rate", "queue_full (209)", "burst"}) {
        INFO(expected);
        CHECK(text.find(expected) != std::string::npos);
    }
}

// Guards against a client that stops at an entry host which does not lead, and against a table that leaves out the reason of a refusal.
TEST_CASE("teams shows what the leader knows of each team", "[operator_client]")
{
    event_loop loop;
    admin_stand_in follower(loop);
    admin_stand_in leader(loop);
    follower.setResponse("GET /v1/teams", 503, json::object());
    leader.setResponse("GET /v1/teams", 200,
                       {{"configurationVersion", 7},
                        {"teams",
                         {{{"name", "red"},
                           {"weight", 2.4},
                           {"cap", {{"millicores", 4'000}}},
                           {"used", {{"millicores", 3'500}}},
                           {"waitingJobs", 3},
                           {"waitingTasks", 17},
                           {"acceptedJobs", 40},
                           {"acceptedBeyondRate", 5},
                           {"refusedBeyondRate", 6},
                           {"refusedForWait", 8},
                           {"refusedForCap", 9}},
                          {{"name", "blue"}, {"cap", {{"millicores", 0}}}}}}});
    client_fixture client(loop, {follower.address(), leader.address()});
    CHECK(client.commands.teams() == exit_code::ok);
    const std::string text = client.result.str();
    INFO(text);
    CHECK(text.find("teams, configuration 7:") == 0);
    for (const char *value : {"red", "3.5", "4.0", "17", "40", "blue", "none"}) {
        CHECK(text.find(value) != std::string::npos);
    }

    leader.setResponse("GET /v1/teams", 503, json::object());
    client_fixture alone(loop, {follower.address()});
    CHECK(alone.commands.teams() != exit_code::ok);
}
