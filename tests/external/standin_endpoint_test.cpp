#include "external/http_requester.h"
#include "external/standin/standin_endpoint.h"
#include "loop_support.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

struct endpoint_fixture
{
    event_loop loop;
    standin_endpoint endpoint{loop, "127.0.0.1:0", {}};
    http_requester requester{loop, settings()};

    static http_requester_settings settings()
    {
        http_requester_settings result;
        result.maximumConnections = 100;
        return result;
    }

    outgoing_request job(const std::string &key, const std::string &body, int milliseconds = 1) const
    {
        outgoing_request request;
        request.address = endpoint.address();
        request.method = "POST";
        request.target = "/lathe/paths";
        request.headers = {{"Idempotency-Key", key}, {"Request-Id", "r-" + key}, {"Job-Run-Milliseconds", std::to_string(milliseconds)}};
        request.body = body;
        request.timeout = 500ms;
        return request;
    }

    http_result send(const outgoing_request &request)
    {
        return runUntilDone<http_result>(loop, [&](auto done) { requester.send(request, done); }).value();
    }

    nlohmann::json get(const std::string &target)
    {
        outgoing_request request;
        request.address = endpoint.address();
        request.target = target;
        return nlohmann::json::parse(send(request).body);
    }

    int setFaults(const std::string &text)
    {
        outgoing_request request;
        request.address = endpoint.address();
        request.method = "PUT";
        request.target = "/v1/faults";
        request.body = text;
        return send(request).status;
    }
};

struct fault_case
{
    const char *faults;
    http_delivery delivery;
    int status;
    std::uint64_t executions;
};

} // namespace

// Guards against a stand-in that does not count every execution, and against responses that do not identify their endpoint and request.
TEST_CASE("a stand-in endpoint echoes the job and counts its key")
{
    endpoint_fixture fixture;
    const std::string body("\0\xffjob", 5);
    for (int count = 1; count <= 2; ++count) {
        const http_result response = fixture.send(fixture.job("k", body));
        CHECK(response.status == 200);
        CHECK(response.header("Request-Id") == "r-k");
        CHECK(response.body == "host=endpoint sequence=" + std::to_string(count) + '\n' + body);
    }
    CHECK(fixture.get("/v1/executions")["executions"]["k"] == 2);
    CHECK(fixture.get("/health") == nlohmann::json{{"state", "serving"}, {"running", 0}, {"slots", 8}});
}

// Guards against fault switches with another effect than documented, or that count an execution that did not happen.
TEST_CASE("each fault of a stand-in endpoint has its documented effect")
{
    const std::vector<fault_case> cases{
        {R"({"refuse":true})", http_delivery::responded, 503, 0},
        {R"({"fail":1})", http_delivery::responded, 500, 1},
        {R"({"hang":1})", http_delivery::failed, 0, 1},
        {R"({"cutAnswers":1})", http_delivery::failed, 0, 1},
        {R"({"otherRequestIds":1})", http_delivery::responded, 200, 1},
        {R"({"surplusAnswers":1})", http_delivery::responded, 200, 1},
        {R"({"lateAnswers":1,"lateMilliseconds":700})", http_delivery::failed, 0, 1},
        {R"({"slowMilliseconds":700})", http_delivery::failed, 0, 1},
    };

    for (const fault_case &item : cases) {
        INFO(item.faults);
        endpoint_fixture fixture;
        REQUIRE(fixture.setFaults(item.faults) == 200);
        const http_result response = fixture.send(fixture.job("k", "body"));
        CHECK(response.delivery == item.delivery);
        CHECK(response.status == item.status);
        CHECK((response.header("Job-Not-Started") == "true") == (item.status == 503));
        CHECK((response.header("Request-Id") == "r-k") == (item.status != 0 && item.faults != std::string(R"({"otherRequestIds":1})")));
        CHECK(fixture.endpoint.executionCount("k") == item.executions);

        fixture.endpoint.setFaults({});
        runFor(fixture.loop, 5ms);
        CHECK(fixture.send(fixture.job("after", "body")).body.find("\nbody") != std::string::npos);
    }

    endpoint_fixture fixture;
    CHECK(fixture.setFaults(R"({"hang":2})") == 400);
    CHECK(fixture.setFaults(R"({"unknown":1})") == 400);
    CHECK(fixture.setFaults("[]") == 400);
}

// Guards against drain times that are measured from incomplete counts or from a wrong start.
TEST_CASE("a leaving stand-in endpoint accepts jobs and records when they were received")
{
    endpoint_fixture fixture;
    fixture.send(fixture.job("before", "x"));
    REQUIRE(fixture.setFaults(R"({"leave":true})") == 200);
    runFor(fixture.loop, 100ms);
    CHECK(fixture.get("/health")["state"] == "leaving");
    CHECK(fixture.send(fixture.job("during", "x")).status == 200);

    const auto leaving = fixture.get("/v1/executions")["leaving"];
    CHECK(leaving["received"] == 1);
    CHECK(leaving["latestMilliseconds"] >= 95.0);
    CHECK(leaving["latestMilliseconds"] <= 2000.0);
}

// Guards against an endpoint that runs more jobs at once than it has slots, or accepts more connections than its maximum.
TEST_CASE("a stand-in endpoint limits running jobs and connections")
{
    endpoint_fixture fixture;
    std::vector<std::string> order;
    int refused = 0;
    for (int index = 0; index < 70; ++index) {
        fixture.requester.send(fixture.job(std::to_string(index), "x", 20), [&, index](const http_result &response) {
            refused += response.status == 503 ? 1 : 0;
            if (response.status == 200) {
                order.push_back(std::to_string(index));
            }
        });
    }
    runFor(fixture.loop, 10ms);
    CHECK(fixture.get("/health")["running"] == 8);
    runFor(fixture.loop, 400ms);
    CHECK(refused == 6);
    CHECK(order.size() == 64);
}

// Guards against a queue in which later jobs overtake earlier ones, which would hide head-of-line blocking from measurements.
TEST_CASE("a stand-in endpoint serves its queue in order of arrival")
{
    endpoint_fixture fixture;
    standin_endpoint_settings settings;
    settings.slots = 1;
    standin_endpoint singleSlotEndpoint(fixture.loop, "127.0.0.1:0", settings);
    std::vector<std::string> order;
    for (const char *key : {"a", "b", "c"}) {
        outgoing_request request = fixture.job(key, "x", key[0] == 'a' ? 50 : 1);
        request.address = singleSlotEndpoint.address();
        fixture.requester.send(request, [&order, key](const http_result &) { order.emplace_back(key); });
        runFor(fixture.loop, 10ms);
    }
    runFor(fixture.loop, 150ms);
    CHECK(order == std::vector<std::string>{"a", "b", "c"});
}
