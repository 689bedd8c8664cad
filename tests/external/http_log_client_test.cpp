#include "external/external.h"
#include "loop_support.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

http_log_client_settings shortTimeouts(std::vector<std::string> addresses)
{
    http_log_client_settings settings;
    settings.addresses = std::move(addresses);
    settings.appendTimeout = 100ms;
    settings.readTimeout = 100ms;
    settings.maximumResponseBytes = 1000;
    return settings;
}

std::string httpResponse(const std::string &statusLine, const std::string &body)
{
    return "HTTP/1.1 " + statusLine + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

append_result append(event_loop &loop, http_log_client &client)
{
    return runUntilDone<append_result>(loop, [&](auto done) { client.append("claims-0", "payload", done); }).value();
}

read_result read(event_loop &loop, http_log_client &client, duration wait = 0ms)
{
    return runUntilDone<read_result>(loop, [&](auto done) { client.read("claims-0", 5, 2, wait, done); }).value();
}

/** An address on which no socket listens. */
std::string closedAddress(event_loop &loop)
{
    return scripted_server(loop, "", true).address();
}

struct append_case
{
    const char *description;
    std::string response;
    bool closesConnection;
    append_status expected;
};

struct read_case
{
    const char *description;
    std::string response;
    read_status expected;
};

} // namespace

// Guards against an append that is reported as refused but may be in the log, and against sending the same append twice.
TEST_CASE("an append is reported as refused only when it was not written, and is sent once")
{
    const std::vector<append_case> cases{
        {"appended", httpResponse("201 Created", R"({"offset":7})"), false, append_status::appended},
        {"rate limit", httpResponse("429 Too Many Requests", R"({"retryAfterMilliseconds":40})"), false, append_status::refused},
        {"unavailable", "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", false, append_status::refused},
        {"closed without a response", "", true, append_status::unknown},
        {"no response", "", false, append_status::unknown},
        {"short body", "HTTP/1.1 201 Created\r\nContent-Length: 50\r\n\r\n{\"offset\":7}", true, append_status::unknown},
        {"short body of an error response", "HTTP/1.1 503 Busy\r\nContent-Length: 50\r\n\r\n{}", true, append_status::unknown},
        {"no offset", httpResponse("201 Created", "{}"), false, append_status::unknown},
        {"negative offset", httpResponse("201 Created", R"({"offset":-7})"), false, append_status::unknown},
        {"not JSON", httpResponse("201 Created", "offset 7"), false, append_status::unknown},
        {"another success", httpResponse("200 OK", R"({"offset":7})"), false, append_status::unknown},
        {"server error", httpResponse("500 Internal Server Error", ""), false, append_status::unknown},
        {"gateway error", httpResponse("502 Bad Gateway", ""), false, append_status::unknown},
        {"not HTTP", "garbage\r\n\r\n", true, append_status::unknown},
        {"oversized body", httpResponse("201 Created", R"({"offset":7})" + std::string(2000, ' ')), false, append_status::unknown},
        {"oversized header", "HTTP/1.1 201 Created\r\nX: " + std::string(40'000, 'x') + "\r\nContent-Length: 0\r\n\r\n", false, append_status::unknown},
    };

    event_loop loop;
    for (const append_case &item : cases) {
        INFO(item.description);
        scripted_server server(loop, item.response, item.closesConnection);
        scripted_server other(loop, httpResponse("201 Created", R"({"offset":8})"), false);
        http_log_client client(loop, shortTimeouts({server.address(), other.address()}));
        const append_result result = append(loop, client);
        CHECK(result.status == item.expected);
        CHECK(result.reason.empty() == (item.expected == append_status::appended));
        runFor(loop, 20ms);
        CHECK(server.requestCount() == 1);
        CHECK(other.requestCount() == 0);
    }
}

// Guards against an unknown result although nothing was sent, and against repeated use of an address that is down.
TEST_CASE("an append to a closed port is refused and the next one is sent to the next address")
{
    event_loop loop;
    scripted_server server(loop, httpResponse("201 Created", R"({"offset":7})"), false);
    http_log_client client(loop, shortTimeouts({closedAddress(loop), server.address()}));
    CHECK(append(loop, client).status == append_status::refused);
    CHECK(server.requestCount() == 0);

    const append_result second = append(loop, client);
    CHECK(second.status == append_status::appended);
    CHECK(second.offset == 7);
}

// Guards against a requested retry delay that is not passed on to the caller.
TEST_CASE("the retry delay is read from the body, else from the header")
{
    event_loop loop;
    scripted_server precise(loop, httpResponse("429 Too Many Requests", R"({"retryAfterMilliseconds":40})"), false);
    http_log_client first(loop, shortTimeouts({precise.address()}));
    CHECK(append(loop, first).retryAfter == 40ms);

    scripted_server seconds(loop, "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", false);
    http_log_client second(loop, shortTimeouts({seconds.address()}));
    CHECK(append(loop, second).retryAfter == 2s);
}

// Guards against offset gaps, records of another range and damaged payloads that would reach a fold.
TEST_CASE("a read accepts only a well-formed response with the requested records")
{
    const std::vector<read_case> cases{
        {"records", httpResponse("200 OK", R"({"earliest":0,"head":7,"records":[{"offset":5,"payload":"YQ=="},{"offset":6,"payload":""}]})"), read_status::ok},
        {"stale replica", httpResponse("200 OK", R"({"earliest":0,"head":3,"records":[]})"), read_status::ok},
        {"trimmed", httpResponse("410 Gone", R"({"earliest":6,"head":7})"), read_status::trimmed},
        {"other offset", httpResponse("200 OK", R"({"earliest":0,"head":7,"records":[{"offset":4,"payload":""}]})"), read_status::unavailable},
        {"gap", httpResponse("200 OK", R"({"earliest":0,"head":9,"records":[{"offset":5,"payload":""},{"offset":7,"payload":""}]})"), read_status::unavailable},
        {"too many",
         httpResponse("200 OK", R"({"earliest":0,"head":9,"records":[{"offset":5,"payload":""},{"offset":6,"payload":""},{"offset":7,"payload":""}]})"),
         read_status::unavailable},
        {"beyond head", httpResponse("200 OK", R"({"earliest":0,"head":5,"records":[{"offset":5,"payload":""}]})"), read_status::unavailable},
        {"bad base64", httpResponse("200 OK", R"({"earliest":0,"head":7,"records":[{"offset":5,"payload":"YQ="}]})"), read_status::unavailable},
        {"bad padding", httpResponse("200 OK", R"({"earliest":0,"head":7,"records":[{"offset":5,"payload":"Y=Q="}]})"), read_status::unavailable},
        {"no records", httpResponse("200 OK", R"({"earliest":0,"head":7})"), read_status::unavailable},
        {"no earliest", httpResponse("410 Gone", "{}"), read_status::unavailable},
        {"unavailable", httpResponse("503 Busy", ""), read_status::unavailable},
        {"oversized", httpResponse("200 OK", R"({"earliest":0,"head":7,"records":[]})" + std::string(2000, ' ')), read_status::unavailable},
    };

    event_loop loop;
    for (const read_case &item : cases) {
        INFO(item.description);
        scripted_server server(loop, item.response, false);
        http_log_client client(loop, shortTimeouts({server.address()}));
        const read_result result = read(loop, client);
        CHECK(result.status == item.expected);
        CHECK(result.records.empty() == (item.description != std::string("records")));
    }
}

// Guards against a read that fails although another replica responds, and against a failure that is reported before every replica was tried.
TEST_CASE("a read tries each address once")
{
    event_loop loop;
    scripted_server broken(loop, "", true);
    scripted_server healthy(loop, httpResponse("200 OK", R"({"earliest":0,"head":5,"records":[]})"), false);
    http_log_client client(loop, shortTimeouts({closedAddress(loop), broken.address(), healthy.address()}));
    CHECK(read(loop, client).status == read_status::ok);
    CHECK(broken.requestCount() == 1);
    CHECK(read(loop, client).status == read_status::ok);
    CHECK(broken.requestCount() == 1);

    http_log_client down(loop, shortTimeouts({broken.address(), closedAddress(loop)}));
    CHECK(read(loop, down).status == read_status::unavailable);
    CHECK(broken.requestCount() == 2);
}

// Guards against appends that are queued behind a read that waits for records.
TEST_CASE("a waiting read does not delay an append, and idle connections are reused")
{
    event_loop loop;
    scripted_server silent(loop, "", false);
    http_log_client client(loop, shortTimeouts({silent.address()}));
    bool readDone = false;
    client.read("claims-0", 0, 1, 300ms, [&](const read_result &) { readDone = true; });
    const time_point start = loop.now();
    CHECK(append(loop, client).status == append_status::unknown);
    CHECK(loop.now() - start < 250ms);
    CHECK_FALSE(readDone);

    scripted_server server(loop, httpResponse("201 Created", R"({"offset":7})"), false);
    http_log_client reusing(loop, shortTimeouts({server.address()}));
    for (int count = 0; count < 5; ++count) {
        CHECK(append(loop, reusing).status == append_status::appended);
    }
    CHECK(server.connectionCount() == 1);
}

// Guards against a response that is matched to a later request on the same connection.
TEST_CASE("a connection with surplus bytes is not reused")
{
    event_loop loop;
    scripted_server server(loop, httpResponse("201 Created", R"({"offset":7})") + httpResponse("201 Created", R"({"offset":99})"), false);
    http_log_client client(loop, shortTimeouts({server.address()}));
    CHECK(append(loop, client).offset == 7);
    CHECK(append(loop, client).offset == 7);
    CHECK(server.connectionCount() == 2);
}

// Guards against a client, or evhttp below it, that resends an append when the server has closed a reused connection.
TEST_CASE("an append on a connection that is being closed is sent at most once")
{
    event_loop loop;
    scripted_server server(loop, httpResponse("201 Created", R"({"offset":7})"), true);
    http_log_client client(loop, shortTimeouts({server.address()}));
    constexpr int appends = 200;
    int appended = 0;
    int unknown = 0;
    for (int index = 0; index < appends; ++index) {
        const append_status status = append(loop, client).status;
        appended += status == append_status::appended ? 1 : 0;
        unknown += status == append_status::unknown ? 1 : 0;

        // With the varying delay, some appends are sent before the client detects the closed connection and some after.
        runFor(loop, std::chrono::microseconds{index % 4 * 500});
    }
    CHECK(appended + unknown == appends);
    CHECK(appended > 0);
    CHECK(server.requestCount() >= appended);
    CHECK(server.requestCount() <= appends);
}

// Guards against sending an append again when the server closes a reused connection between the request and its response.
TEST_CASE("an append whose reused connection is closed is unknown and is not sent again")
{
    event_loop loop;
    scripted_server server(loop, httpResponse("201 Created", R"({"offset":7})"), false);
    http_log_client client(loop, shortTimeouts({server.address()}));
    CHECK(append(loop, client).status == append_status::appended);
    server.setResponse("", true);
    CHECK(append(loop, client).status == append_status::unknown);
    runFor(loop, 50ms);
    CHECK(server.requestCount() == 2);
    CHECK(server.connectionCount() == 1);
}

// Guards against use after free when the owner of a client destroys it in a callback, as a task does when it stops.
TEST_CASE("a client may be destroyed by its own callback")
{
    event_loop loop;
    scripted_server server(loop, httpResponse("201 Created", R"({"offset":7})"), false);
    auto client = std::make_unique<http_log_client>(loop, shortTimeouts({server.address()}));
    int calls = 0;
    for (int count = 0; count < 3; ++count) {
        client->append("s", "x", [&](const append_result &) {
            ++calls;
            client.reset();
        });
    }
    client->read("s", 0, 1, 1s, [&](const read_result &) { ++calls; });
    runFor(loop, 200ms);
    CHECK(calls == 1);
    CHECK_FALSE(client);
}
