#include "external/standin/standin_log.h"

#include "external/base64.h"
#include "external/standin/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <event2/http.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
constexpr std::uint64_t maximumRecordsPerRead = 10'000;
constexpr std::uint64_t maximumWaitMilliseconds = 60'000;

json errorBody(const std::string &reason)
{
    return {{"reason", reason}};
}

/** The decoded stream name in a path of the form /v1/streams/{name}/records, or empty for other paths. */
std::string streamName(const std::string &path)
{
    constexpr std::string_view prefix = "/v1/streams/";
    constexpr std::string_view suffix = "/records";
    if (path.size() <= prefix.size() + suffix.size() || path.rfind(prefix, 0) != 0 || path.substr(path.size() - suffix.size()) != suffix) {
        return {};
    }

    const std::string encoded = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    std::size_t size = 0;
    char *decoded = evhttp_uridecode(encoded.c_str(), 0, &size);
    std::string stream(decoded, size);
    std::free(decoded); // NOLINT(cppcoreguidelines-no-malloc): evhttp_uridecode allocates with malloc
    return stream;
}

std::optional<std::uint64_t> parseUnsignedParameter(const standin_exchange &exchange, const std::string &key, std::uint64_t defaultValue, std::uint64_t maximum)
{
    const auto text = exchange.queryParameter(key);
    if (!text) {
        return defaultValue;
    }
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    if (text->empty() || parsed.ec != std::errc{} || parsed.ptr != text->data() + text->size()) {
        return std::nullopt;
    }
    return std::min(value, maximum);
}

} // namespace

standin_log::standin_log(event_loop &loop, const std::string &address, fake_log_settings settings)
    : m_log(loop, settings)
    , m_server(loop, address, [this](const exchange_pointer &exchange) { handleRequest(exchange); })
{
}

const std::string &standin_log::address() const
{
    return m_server.address();
}

fake_log &standin_log::log()
{
    return m_log;
}

void standin_log::handleRequest(const exchange_pointer &exchange)
{
    const std::string &method = exchange->method();
    const std::string &path = exchange->path();
    const std::string stream = streamName(path);
    if (!stream.empty() && method == "POST") {
        handleAppend(exchange, stream);
    } else if (!stream.empty() && method == "GET") {
        handleRead(exchange, stream);
    } else if (path == "/v1/faults" && method == "PUT") {
        handleFaults(exchange);
    } else if (path == "/v1/trim" && method == "PUT") {
        handleTrim(exchange);
    } else if (path == "/v1/streams" && method == "GET") {
        json streams = json::object();
        for (const std::string &streamKey : m_log.streamNames()) {
            streams[streamKey] = {{"earliest", m_log.earliest(streamKey)}, {"head", m_log.head(streamKey)}};
        }
        exchange->replyJson(statusOk, json{{"streams", streams}, {"writeCount", m_log.writeCount()}}.dump());
    } else {
        exchange->replyJson(statusNotFound, errorBody("no such path or method").dump());
    }
}

void standin_log::handleAppend(const exchange_pointer &exchange, const std::string &stream)
{
    m_log.append(stream, exchange->body(), [exchange](const append_result &result) {
        if (result.status == append_status::appended) {
            exchange->replyJson(statusCreated, json{{"offset", result.offset}}.dump());
            return;
        }
        if (result.status == append_status::unknown) {
            exchange->closeWithoutResponse();
            return;
        }

        json body = errorBody(result.reason);
        standin_exchange::header_list headers;
        if (result.retryAfter > duration::zero()) {
            body["retryAfterMilliseconds"] = std::chrono::ceil<std::chrono::milliseconds>(result.retryAfter).count();
            headers.emplace_back("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(result.retryAfter).count()));
        }
        exchange->replyJson(headers.empty() ? statusUnavailable : statusTooManyRequests, body.dump(), headers);
    });
}

void standin_log::handleRead(const exchange_pointer &exchange, const std::string &stream)
{
    const auto from = parseUnsignedParameter(*exchange, "from", 0, std::numeric_limits<std::uint64_t>::max());
    const auto maximumRecords = parseUnsignedParameter(*exchange, "max", maximumRecordsPerRead, maximumRecordsPerRead);
    const auto waitMilliseconds = parseUnsignedParameter(*exchange, "wait", 0, maximumWaitMilliseconds);
    if (!from || !maximumRecords || !waitMilliseconds) {
        exchange->replyJson(statusBadRequest, errorBody("from, max and wait must be numbers").dump());
        return;
    }

    m_log.read(stream, *from, *maximumRecords, std::chrono::milliseconds{*waitMilliseconds}, [exchange](const read_result &result) {
        if (result.status == read_status::unavailable) {
            exchange->replyJson(statusUnavailable, errorBody(result.reason).dump());
            return;
        }

        json body{{"earliest", result.earliest}, {"head", result.head}};
        if (result.status == read_status::trimmed) {
            body["reason"] = result.reason;
            exchange->replyJson(statusGone, body.dump());
            return;
        }
        json records = json::array();
        for (const log_record &record : result.records) {
            records.push_back({{"offset", record.offset}, {"payload", toBase64(record.payload)}});
        }
        body["records"] = std::move(records);
        exchange->replyJson(statusOk, body.dump());
    });
}

void standin_log::handleFaults(const exchange_pointer &exchange)
{
    fake_log_faults faults = m_log.faults();
    const std::string error = settings_reader()
                                  .add("outage", faults.outage)
                                  .addMilliseconds("latencyMilliseconds", faults.latency)
                                  .addProbability("loseAnswers", faults.loseResponses)
                                  .addProbability("lateAppends", faults.lateAppends)
                                  .addProbability("duplicates", faults.duplicates)
                                  .addProbability("staleReads", faults.staleReads)
                                  .add("appendsPerSecond", faults.appendsPerSecond)
                                  .apply(exchange->body());
    if (!error.empty()) {
        exchange->replyJson(statusBadRequest, errorBody(error).dump());
        return;
    }
    m_log.setFaults(faults);
    exchange->replyJson(statusOk, "{}");
}

void standin_log::handleTrim(const exchange_pointer &exchange)
{
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object() || !body.contains("stream") || !body["stream"].is_string() || !body.contains("before") || !body["before"].is_number_unsigned()) {
        exchange->replyJson(statusBadRequest, errorBody("the body is {\"stream\":name,\"before\":offset}").dump());
        return;
    }

    const auto stream = body["stream"].get<std::string>();
    m_log.trim(stream, body["before"].get<log_offset>());
    exchange->replyJson(statusOk, json{{"earliest", m_log.earliest(stream)}, {"head", m_log.head(stream)}}.dump());
}

} // namespace parsleyglade
