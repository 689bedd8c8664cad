#include "raw_connection.h"
#include "transport/transport.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;
using test::raw_connection;

namespace {

struct echo_server
{
    echo_server()
        : server(
            loop, settings(), [this](const std::shared_ptr<http_exchange> &exchange) { handleRequest(exchange); },
            [](result_code code) {
                return http_response{describe(code).httpStatus, {}, std::string(name(code))};
            })
        , port(server.listen().value())
    {
    }

    static http_server_settings settings()
    {
        http_server_settings limits;
        limits.maximumHeaderBytes = 2048;
        limits.maximumBodyBytes = 1000;
        limits.maximumConnections = 4;
        limits.requestTimeout = 150ms;
        limits.drainIdleTimeout = 60ms;
        return limits;
    }

    void handleRequest(const std::shared_ptr<http_exchange> &exchange)
    {
        const http_request &request = exchange->request();
        lastHeaders = request.headers;
        if (request.path == "/later") {
            pending.push_back(exchange);
            return;
        }
        exchange->respond({200, {{"Content-Type", "text/plain"}}, request.method + ' ' + request.path + '?' + request.query + ' ' + request.body});
    }

    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> pending;
    std::vector<http_header> lastHeaders;
    http_server server;
    std::uint16_t port;
};

std::string post(const std::string &path, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against requests whose method, path, query or body does not reach the handler.
TEST_CASE("the handler receives the complete request and its response is returned")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    caller.send(post("/a/b?x=1", "hello"));
    const std::string response = caller.receive("hello");
    CHECK(response.find("HTTP/1.1 200") == 0);
    CHECK(response.find("POST /a/b?x=1 hello") != std::string::npos);
}

// Guards against fields of a form body that are added to the query, which libevhtp does.
TEST_CASE("a form body is not added to the query")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    caller.send("POST /form HTTP/1.1\r\nHost: h\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: 7\r\n\r\na=1&b=2");
    CHECK(caller.receive("b=2").find("POST /form? a=1&b=2") != std::string::npos);
}

// Guards against misparsed fields of a request that arrives in several reads: libevhtp's parser inserted a byte of an earlier field into
// a value that was split between two reads, and a job ran under another name.
TEST_CASE("a request is parsed the same wherever it is split between two reads")
{
    const std::string request = "POST /first/path?query=value HTTP/1.1\r\nHost: name.example:8080\r\nRequest-Id: a4f11f0980272a5c\r\n"
                                "Content-Length: 5\r\nDeadline-Ms: 3000\r\n\r\nhello";
    echo_server fixture;
    for (std::size_t split = 1; split < request.size(); ++split) {
        CAPTURE(split);
        raw_connection caller(fixture.loop, fixture.port);
        caller.send(request.substr(0, split));
        caller.run(1ms);
        caller.send(request.substr(split));
        REQUIRE(caller.receive("hello").find("POST /first/path?query=value hello") != std::string::npos);
        const std::vector<http_header> expected{
            {"Host", "name.example:8080"}, {"Request-Id", "a4f11f0980272a5c"}, {"Content-Length", "5"}, {"Deadline-Ms", "3000"}};
        REQUIRE(fixture.lastHeaders == expected);
    }
}

// Guards against the same fault when part of a second request is received before the first has its response.
TEST_CASE("an incomplete second request behind the first is not misparsed")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    caller.send(post("/a", "first") + "POST /b HTTP/1.1\r\nRequest-Id: a4f1");
    const std::string response = caller.receive();
    CHECK(response.find("first") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(caller.isClosed());

    raw_connection pipelining(fixture.loop, fixture.port);
    pipelining.send(post("/a", "first") + post("/b", "second"));
    CHECK(pipelining.receive("second").find("POST /b?") != std::string::npos);
}

// Guards against the rejection of an empty line before a request, which HTTP allows.
TEST_CASE("an empty line before a request is ignored")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    caller.send("\r\n\r\n" + post("/a", "hello"));
    CHECK(caller.receive("hello").find("HTTP/1.1 200") == 0);
}

// Guards against invalid input that gets no specific error response, keeps its connection open or affects another caller.
TEST_CASE("invalid input gets a specific status and closes only its own connection")
{
    struct bad_input
    {
        std::string label;
        std::string bytes;
        bool endsWriting;
        std::string expected;
    };
    const std::string longLine(20000, 'x');
    const auto input = GENERATE_REF(values<bad_input>({
        {"oversized body by length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", false, "HTTP/1.1 413"},
        {"oversized chunked body", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + std::string(4096, 'b') + "\r\n0\r\n\r\n",
         false, "HTTP/1.1 413"},
        {"many headers", "GET /a HTTP/1.1\r\nA: " + std::string(1500, 'a') + "\r\nB: " + std::string(1500, 'b') + "\r\n\r\n", false, "HTTP/1.1 431"},
        {"malformed length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12x\r\n\r\n", false, "HTTP/1.1 400"},
        {"two framings", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello", false, "HTTP/1.1 400"},
        {"two equal lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello", false, "HTTP/1.1 400"},
        {"two different lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\ncontent-length: 5\r\n\r\nhello", false, "HTTP/1.1 400"},
        {"HTTP/1.1 without a host", "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", false, "HTTP/1.1 400"},
        {"two hosts", "POST /a HTTP/1.1\r\nHost: h\r\nHost: i\r\nContent-Length: 5\r\n\r\nhello", false, "HTTP/1.1 400"},
        {"not HTTP", "\x16\x03\x01\x02 hello\r\n\r\n", false, "HTTP/1.1 400"},
        {"slow head", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Le", false, "HTTP/1.1 408"},
        {"slow sender", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nabc", false, "HTTP/1.1 408"},
        {"endless header line", "GET /a HTTP/1.1\r\nA: " + longLine, false, "HTTP/1.1 4"},
    }));
    CAPTURE(input.label);

    echo_server fixture;
    raw_connection other(fixture.loop, fixture.port);
    raw_connection sender(fixture.loop, fixture.port);
    sender.send(input.bytes);
    if (input.endsWriting) {
        sender.endWriting();
    }
    const std::string response = sender.receive();
    CHECK(response.substr(0, input.expected.size()) == input.expected);
    CHECK(sender.isClosed());

    other.send(post("/a", "still served"));
    CHECK(other.receive("still served").find("HTTP/1.1 200") == 0);
}

// Guards against responses that are sent to the wrong request of a pipelined connection.
TEST_CASE("pipelined requests get their responses in order, even when the first response is late")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    caller.send(post("/later", "one") + post("/second", "two") + post("/third", "three"));
    caller.run(30ms);
    CHECK(caller.receive("HTTP", 50ms).empty());
    REQUIRE(fixture.pending.size() == 1);

    fixture.pending.front()->respond({200, {}, "first"});
    const std::string responses = caller.receive("three");
    const auto first = responses.find("first");
    const auto second = responses.find("POST /second? two");
    const auto third = responses.find("POST /third? three");
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third != std::string::npos);
}

// Guards against a half-closed connection that loses its response, and against use of a closed connection.
TEST_CASE("callers that close before their response")
{
    echo_server fixture;

    SECTION("a half-closed connection still gets its response")
    {
        raw_connection caller(fixture.loop, fixture.port);
        caller.send(post("/later", "x"));
        caller.endWriting();
        caller.run(30ms);
        REQUIRE(fixture.pending.size() == 1);
        fixture.pending.front()->respond({200, {}, "late answer"});
        CHECK(caller.receive("late answer").find("late answer") != std::string::npos);
    }

    SECTION("a response on a closed connection is dropped")
    {
        {
            raw_connection caller(fixture.loop, fixture.port);
            caller.send(post("/later", "x"));
            caller.run(30ms);
        }
        raw_connection observer(fixture.loop, fixture.port);
        observer.run(30ms);
        REQUIRE(fixture.pending.size() == 1);
        fixture.pending.front()->respond({200, {}, "nobody"});
        observer.send(post("/a", "after"));
        CHECK(observer.receive("after").find("HTTP/1.1 200") == 0);
    }

    SECTION("a truncated body is never handled")
    {
        raw_connection caller(fixture.loop, fixture.port);
        caller.send("POST /later HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nabc");
        caller.endWriting();
        caller.receive();
        CHECK(fixture.pending.empty());
    }
}

// Guards against connections that stay open although the caller requested that they be closed.
TEST_CASE("a connection is closed after the response when the caller requests it")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    const std::string request = GENERATE(as<std::string>{}, "GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                                         "GET /later HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    caller.send(request);
    caller.run(30ms);
    for (const auto &exchange : fixture.pending) {
        exchange->respond({200, {}, "GET /later"});
    }
    CHECK(caller.receive().find("GET /") != std::string::npos);
    CHECK(caller.isClosed());
}

// Guards against more open connections than maximumConnections, and against an effect on the connections within the limit.
TEST_CASE("connections over the limit are refused with status 503")
{
    echo_server fixture;
    std::vector<std::unique_ptr<raw_connection>> open;
    for (int index = 0; index < 4; ++index) {
        open.push_back(std::make_unique<raw_connection>(fixture.loop, fixture.port));
        open.back()->run(5ms);
    }
    raw_connection surplus(fixture.loop, fixture.port);
    CHECK(surplus.receive().find("HTTP/1.1 503") == 0);

    open.front()->send(post("/a", "first caller"));
    CHECK(open.front()->receive("first caller").find("HTTP/1.1 200") == 0);
}

// Guards against a planned stop that drops a request in flight.
TEST_CASE("a stopping server responds to requests in flight and closes idle connections")
{
    echo_server fixture;
    raw_connection idle(fixture.loop, fixture.port);
    raw_connection busy(fixture.loop, fixture.port);
    busy.send(post("/later", "x"));
    busy.run(30ms);
    REQUIRE(fixture.pending.size() == 1);

    fixture.server.stopAccepting();
    idle.receive({}, 200ms);
    CHECK(idle.isClosed());

    fixture.pending.front()->respond({200, {}, "finished"});
    CHECK(busy.receive().find("finished") != std::string::npos);
    CHECK(busy.isClosed());
    CHECK(fixture.server.connectionCount() == 0);
}

// Guards against a planned stop that resets a persistent connection whose next request has already reached the host.
TEST_CASE("a request that has reached an idle connection before the server stops gets a response")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    caller.send(post("/a", "first"));
    REQUIRE(caller.receive("first").find("HTTP/1.1 200") == 0);

    caller.sendWithoutRunning(post("/a", "second"));
    fixture.server.stopAccepting();
    const std::string response = caller.receive();
    CHECK(response.find("second") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(caller.isClosed());
}

// Guards against a planned stop that resets a connection that the kernel has established but the server has not accepted yet.
TEST_CASE("a connection that the kernel has established before the server stops is served")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    caller.sendWithoutRunning(post("/a", "early"));
    fixture.server.stopAccepting();
    CHECK(caller.receive().find("early") != std::string::npos);

    raw_connection late(fixture.loop, fixture.port);
    late.sendWithoutRunning(post("/a", "late"));
    CHECK(late.receive().empty());
}

// Guards against callers that use a host until it stops, because nothing closes their connections earlier.
TEST_CASE("after closeConnectionsAfterResponses() each response closes its connection and new connections are accepted")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    fixture.server.closeConnectionsAfterResponses();
    caller.send(post("/a", "only"));
    const std::string response = caller.receive();
    CHECK(response.find("only") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(caller.isClosed());

    raw_connection next(fixture.loop, fixture.port);
    next.send(post("/a", "still accepted"));
    CHECK(next.receive("still accepted").find("HTTP/1.1 200") == 0);
}

// Guards against a planned stop that closes a connection whose caller has connected and is about to send its request.
TEST_CASE("a connection that was accepted just before the server stops has time to send its request")
{
    echo_server fixture;
    raw_connection caller(fixture.loop, fixture.port);
    caller.run(5ms);
    REQUIRE(fixture.server.connectionCount() == 1);

    fixture.server.stopAccepting();
    caller.run(20ms);
    caller.send(post("/a", "just in time"));
    CHECK(caller.receive().find("just in time") != std::string::npos);
    CHECK(caller.isClosed());
}

// Guards against a process that exits while the last response of a connection is still in its own buffer.
TEST_CASE("a server is drained only when its closing responses have been sent")
{
    echo_server fixture;
    CHECK(fixture.server.isDrained());
    {
        raw_connection caller(fixture.loop, fixture.port);
        caller.send(post("/later", "x"));
        caller.run(20ms);
        REQUIRE(fixture.pending.size() == 1);
        fixture.server.stopAccepting();
        CHECK_FALSE(fixture.server.isDrained());

        fixture.pending.front()->respond({200, {}, "finished"});
        fixture.loop.post([&] { CHECK_FALSE(fixture.server.isDrained()); });
        CHECK(caller.receive().find("finished") != std::string::npos);
        CHECK(fixture.server.connectionCount() == 0);
        CHECK_FALSE(fixture.server.isDrained());
    }
    const auto end = fixture.loop.after(50ms, [&] { fixture.loop.stop(); });
    fixture.loop.run();
    CHECK(fixture.server.isDrained());
}
