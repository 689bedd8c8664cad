#include "external/standin/standin_endpoint.h"

#include "external/standin/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusServerError = 500;
constexpr int statusUnavailable = 503;
constexpr std::size_t maximumRecordedTimes = 10'000;

double toMilliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

std::string errorBody(const std::string &reason)
{
    return json{{"reason", reason}}.dump();
}

} // namespace

standin_endpoint::standin_endpoint(event_loop &loop, const std::string &address, standin_endpoint_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_calls(loop)
    , m_server(loop, address, [this](const exchange_pointer &exchange) { handleRequest(exchange); })
{
}

const std::string &standin_endpoint::address() const
{
    return m_server.address();
}

const standin_endpoint_faults &standin_endpoint::faults() const
{
    return m_faults;
}

void standin_endpoint::setFaults(const standin_endpoint_faults &faults)
{
    if (faults.isLeaving && !m_faults.isLeaving) {
        m_leavingSince = m_loop.now();
        m_receivedWhileLeaving = 0;
        m_receivedAfterLeaving.clear();
        m_latestAfterLeaving = duration::zero();
    }
    m_faults = faults;

    if (m_faults.hang <= 0) {
        const auto hung = std::exchange(m_hungJobs, {});
        for (const exchange_pointer &exchange : hung) {
            exchange->closeWithoutResponse();
            --m_running;
            ++m_finished;
        }
        startQueuedJobs();
    }
}

std::uint64_t standin_endpoint::executionCount(const std::string &key) const
{
    const auto found = m_executions.find(key);
    return found == m_executions.end() ? 0 : found->second;
}

void standin_endpoint::handleRequest(const exchange_pointer &exchange)
{
    const std::string &method = exchange->method();
    const std::string &path = exchange->path();
    m_peakConnections = std::max(m_peakConnections, m_server.connectionCount());
    if (path == "/health" && method == "GET") {
        handleHealth(exchange);
    } else if (path == "/v1/faults" && method == "PUT") {
        handleFaults(exchange);
    } else if (path == "/v1/executions" && method == "GET") {
        handleExecutions(exchange);
    } else if (path == "/v1/executions" && method == "DELETE") {
        m_executions.clear();
        exchange->replyJson(statusOk, "{}");
    } else if (path.rfind("/v1/", 0) == 0) {
        exchange->replyJson(statusNotFound, errorBody("no such path or method"));
    } else {
        handleJob(exchange);
    }
}

void standin_endpoint::handleHealth(const exchange_pointer &exchange)
{
    if (m_faults.failHealthChecks) {
        exchange->replyJson(statusServerError, errorBody("the health check fails because of an injected fault"));
        return;
    }
    const json body{{"state", m_faults.isLeaving ? "leaving" : "serving"}, {"running", m_running}, {"slots", m_settings.slots}};
    exchange->replyJson(statusOk, body.dump());
}

void standin_endpoint::handleFaults(const exchange_pointer &exchange)
{
    standin_endpoint_faults faults = m_faults;
    const std::string error = settings_reader()
                                  .addProbability("refuse", faults.refuse)
                                  .addProbability("fail", faults.fail)
                                  .addProbability("hang", faults.hang)
                                  .addProbability("cutAnswers", faults.truncateResponses)
                                  .addProbability("otherRequestIds", faults.wrongRequestIds)
                                  .addProbability("surplusAnswers", faults.surplusResponses)
                                  .addProbability("lateAnswers", faults.lateResponses)
                                  .addMilliseconds("lateMilliseconds", faults.lateResponseDelay)
                                  .addMilliseconds("slowMilliseconds", faults.addedRunTime)
                                  .add("failHealth", faults.failHealthChecks)
                                  .add("leave", faults.isLeaving)
                                  .apply(exchange->body());
    if (!error.empty()) {
        exchange->replyJson(statusBadRequest, errorBody(error));
        return;
    }
    setFaults(faults);
    exchange->replyJson(statusOk, "{}");
}

void standin_endpoint::handleExecutions(const exchange_pointer &exchange)
{
    json times = json::array();
    for (const duration time : m_receivedAfterLeaving) {
        times.push_back(toMilliseconds(time));
    }
    const json leaving{{"received", m_receivedWhileLeaving}, {"latestMilliseconds", toMilliseconds(m_latestAfterLeaving)}, {"milliseconds", std::move(times)}};
    const json body{{"host", m_settings.host}, {"executions", m_executions}, {"received", m_received},
                    {"refused", m_refused},    {"started", m_started},       {"finished", m_finished},
                    {"running", m_running},    {"queued", m_queue.size()},   {"mostConnections", m_peakConnections},
                    {"leaving", leaving}};
    exchange->replyJson(statusOk, body.dump());
}

void standin_endpoint::handleJob(const exchange_pointer &exchange)
{
    ++m_received;
    if (m_faults.isLeaving) {
        m_latestAfterLeaving = m_loop.now() - m_leavingSince;
        ++m_receivedWhileLeaving;
        if (m_receivedAfterLeaving.size() < maximumRecordedTimes) {
            m_receivedAfterLeaving.push_back(m_latestAfterLeaving);
        }
    }

    if (!m_server.isAmongFirst(*exchange, m_settings.maximumConnections)) {
        refuseJob(exchange, "too many connections");
        return;
    }
    if (drawFault(m_faults.refuse)) {
        refuseJob(exchange, "refused because of an injected fault");
        return;
    }

    m_queue.push_back(exchange);
    startQueuedJobs();
}

void standin_endpoint::refuseJob(const exchange_pointer &exchange, const std::string &reason)
{
    ++m_refused;
    exchange->replyJson(statusUnavailable, errorBody(reason),
                        {{"Job-Not-Started", "true"}, {"Retry-After", "1"}, {"Request-Id", exchange->header("Request-Id")}, {"Connection", "close"}});
}

void standin_endpoint::startQueuedJobs()
{
    while (!m_queue.empty() && m_running < m_settings.slots) {
        const exchange_pointer exchange = m_queue.front();
        m_queue.pop_front();
        startJob(exchange);
    }
}

void standin_endpoint::startJob(const exchange_pointer &exchange)
{
    ++m_running;
    const std::uint64_t sequence = ++m_started;
    if (const std::string &key = exchange->header("Idempotency-Key"); !key.empty()) {
        ++m_executions[key];
    }

    const response_kind kind = drawResponseKind();
    if (kind == response_kind::hang) {
        m_hungJobs.push_back(exchange);
        return;
    }

    duration runTime = m_settings.runTime;
    const std::string &text = exchange->header("Job-Run-Milliseconds");
    std::uint32_t milliseconds = 0;
    if (!text.empty() && std::from_chars(text.data(), text.data() + text.size(), milliseconds).ptr == text.data() + text.size()) {
        runTime = std::chrono::milliseconds{milliseconds};
    }
    runTime = kind == response_kind::fail ? duration::zero() : runTime + m_faults.addedRunTime;
    m_calls.after(runTime, [this, exchange, kind, sequence] { finishJob(exchange, kind, sequence); });
}

void standin_endpoint::finishJob(const exchange_pointer &exchange, response_kind kind, std::uint64_t sequence)
{
    --m_running;
    ++m_finished;
    if (kind == response_kind::late) {
        m_calls.after(m_faults.lateResponseDelay, [this, exchange, kind, sequence] { respond(exchange, kind, sequence); });
    } else {
        respond(exchange, kind, sequence);
    }
    startQueuedJobs();
}

void standin_endpoint::respond(const exchange_pointer &exchange, response_kind kind, std::uint64_t sequence)
{
    const std::string number = std::to_string(sequence);
    standin_exchange::header_list headers{{"Content-Type", "application/octet-stream"}, {"Endpoint-Host", m_settings.host}, {"Endpoint-Sequence", number}};
    std::string requestId = exchange->header("Request-Id");
    std::string body = "host=" + m_settings.host + " sequence=" + number + '\n';
    if (kind == response_kind::wrong_request_id) {
        requestId += "-other";
        body += "answer to another request";
    } else {
        body += exchange->body();
    }
    if (!requestId.empty()) {
        headers.emplace_back("Request-Id", requestId);
    }

    switch (kind) {
    case response_kind::fail:
        exchange->reply(statusServerError, headers, body);
        return;
    case response_kind::truncated:
        exchange->replyTruncated(statusOk, headers, body, body.size() / 2);
        return;
    case response_kind::surplus:
        exchange->replyWithSurplus(statusOk, headers, body, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nsurplus answer");
        return;
    case response_kind::complete:
    case response_kind::late:
    case response_kind::wrong_request_id:
    case response_kind::hang:
        exchange->reply(statusOk, headers, body);
        return;
    }
}

standin_endpoint::response_kind standin_endpoint::drawResponseKind()
{
    const std::pair<double, response_kind> rows[] = {
        {m_faults.fail, response_kind::fail},
        {m_faults.hang, response_kind::hang},
        {m_faults.truncateResponses, response_kind::truncated},
        {m_faults.wrongRequestIds, response_kind::wrong_request_id},
        {m_faults.surplusResponses, response_kind::surplus},
        {m_faults.lateResponses, response_kind::late},
    };
    for (const auto &[probability, kind] : rows) {
        if (drawFault(probability)) {
            return kind;
        }
    }
    return response_kind::complete;
}

bool standin_endpoint::drawFault(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

} // namespace parsleyglade
