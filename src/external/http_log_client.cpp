#include "external/http_log_client.h"

#include "external/base64.h"

#include <cassert>
#include <charconv>
#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

using nlohmann::json;

constexpr int statusCreated = 201;
constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

http_requester_settings requesterSettings(std::size_t maximumConnections, std::size_t maximumBodyBytes)
{
    http_requester_settings settings;
    settings.maximumConnections = maximumConnections;
    settings.maximumBodyBytes = maximumBodyBytes;
    return settings;
}

std::string streamTarget(const std::string &stream)
{
    char *encoded = evhttp_uriencode(stream.data(), static_cast<ev_ssize_t>(stream.size()), 0);
    std::string target = "/v1/streams/" + std::string(encoded) + "/records";
    std::free(encoded); // NOLINT(cppcoreguidelines-no-malloc): evhttp_uriencode allocates with malloc
    return target;
}

std::optional<std::uint64_t> unsignedField(const json &object, const char *key)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

/** The delay that the log requests before a retry: milliseconds in the body, else seconds in the header, else zero. */
duration retryAfter(const http_result &response)
{
    constexpr std::uint64_t maximumSeconds = 3600;
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    const json body = json::parse(response.body, nullptr, false);
    if (const auto milliseconds = unsignedField(body, "retryAfterMilliseconds")) {
        return std::chrono::milliseconds{std::min(*milliseconds, maximumSeconds * millisecondsPerSecond)};
    }

    const std::string_view text = response.header("Retry-After");
    std::uint64_t seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return duration::zero();
    }
    return std::chrono::seconds{std::min(seconds, maximumSeconds)};
}

append_result parseAppendResult(const http_result &response)
{
    append_result result;
    if (isUnsent(response.delivery)) {
        result.status = append_status::refused;
        result.reason = response.reason;
        return result;
    }
    if (response.delivery == http_delivery::failed) {
        result.reason = response.reason;
        return result;
    }

    if (response.status == statusTooManyRequests || response.status == statusUnavailable) {
        result.status = append_status::refused;
        result.reason = "the log returned status " + std::to_string(response.status);
        result.retryAfter = retryAfter(response);
        return result;
    }
    if (response.status != statusCreated) {
        result.reason = "the log returned status " + std::to_string(response.status);
        return result;
    }

    const auto offset = unsignedField(json::parse(response.body, nullptr, false), "offset");
    if (!offset) {
        result.reason = "the response of the log is malformed";
        return result;
    }
    result.status = append_status::appended;
    result.offset = *offset;
    return result;
}

read_result malformedRead()
{
    read_result result;
    result.reason = "the response of the log is malformed";
    return result;
}

bool parseRecords(const json &items, log_offset from, std::size_t maximumRecords, std::vector<log_record> &records)
{
    if (!items.is_array() || items.size() > maximumRecords) {
        return false;
    }

    for (const json &item : items) {
        const auto offset = unsignedField(item, "offset");
        if (offset != from + records.size() || !item.contains("payload") || !item["payload"].is_string()) {
            return false;
        }
        auto payload = fromBase64(item["payload"].get_ref<const std::string &>());
        if (!payload) {
            return false;
        }
        records.push_back({*offset, std::move(*payload)});
    }
    return true;
}

read_result parseReadResult(const http_result &response, log_offset from, std::size_t maximumRecords)
{
    read_result result;
    if (response.delivery != http_delivery::responded) {
        result.reason = response.reason;
        return result;
    }
    if (response.status != statusOk && response.status != statusGone) {
        result.reason = "the log returned status " + std::to_string(response.status);
        return result;
    }

    const json body = json::parse(response.body, nullptr, false);
    const auto earliest = unsignedField(body, "earliest");
    const auto head = unsignedField(body, "head");
    if (!earliest || !head || *earliest > *head) {
        return malformedRead();
    }
    if (response.status == statusOk
        && (!body.contains("records") || !parseRecords(body["records"], from, maximumRecords, result.records)
            || (!result.records.empty() && result.records.back().offset >= *head))) {
        return malformedRead();
    }

    result.status = response.status == statusOk ? read_status::ok : read_status::trimmed;
    result.earliest = *earliest;
    result.head = *head;
    if (result.status == read_status::trimmed) {
        result.reason = "offset " + std::to_string(from) + " has been removed by retention";
    }
    return result;
}

} // namespace

struct http_log_client::read_call
{
    std::string target;
    log_offset from = 0;
    std::size_t maximumRecords = 0;
    duration timeout{};
    std::size_t address = 0;
    std::size_t attemptsLeft = 0;
    std::function<void(read_result)> done;
};

http_log_client::http_log_client(event_loop &loop, http_log_client_settings settings)
    : m_settings(std::move(settings))
    , m_appendRequester(loop, requesterSettings(m_settings.maximumAppends, m_settings.maximumResponseBytes))
    , m_readRequester(loop, requesterSettings(m_settings.maximumReads, m_settings.maximumResponseBytes))
{
    assert(!m_settings.addresses.empty());
}

http_log_client::~http_log_client() = default;

void http_log_client::append(const std::string &stream, std::string payload, std::function<void(append_result)> done)
{
    const std::size_t address = m_preferredAddress;
    outgoing_request request;
    request.address = m_settings.addresses[address];
    request.method = "POST";
    request.target = streamTarget(stream);
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    request.body = std::move(payload);
    request.timeout = m_settings.appendTimeout;

    m_appendRequester.send(request, [this, address, done = std::move(done)](const http_result &response) {
        append_result result = parseAppendResult(response);
        if (response.delivery != http_delivery::responded || response.status == statusUnavailable) {
            preferAddressAfter(address);
        }
        done(std::move(result));
    });
}

void http_log_client::read(const std::string &stream, log_offset from, std::size_t maximumRecords, duration wait, std::function<void(read_result)> done)
{
    const auto waitMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();

    auto call = std::make_shared<read_call>();
    call->target
        = streamTarget(stream) + "?from=" + std::to_string(from) + "&max=" + std::to_string(maximumRecords) + "&wait=" + std::to_string(waitMilliseconds);
    call->from = from;
    call->maximumRecords = maximumRecords;
    call->timeout = wait + m_settings.readTimeout;
    call->address = m_preferredAddress;
    call->attemptsLeft = m_settings.addresses.size();
    call->done = std::move(done);
    sendRead(call);
}

void http_log_client::sendRead(const std::shared_ptr<read_call> &call)
{
    outgoing_request request;
    request.address = m_settings.addresses[call->address];
    request.target = call->target;
    request.timeout = call->timeout;
    --call->attemptsLeft;

    m_readRequester.send(request, [this, call](const http_result &response) {
        read_result result = parseReadResult(response, call->from, call->maximumRecords);
        if (result.status == read_status::unavailable) {
            preferAddressAfter(call->address);
            if (call->attemptsLeft > 0) {
                call->address = (call->address + 1) % m_settings.addresses.size();
                sendRead(call);
                return;
            }
        }
        const auto done = std::move(call->done);
        done(std::move(result));
    });
}

void http_log_client::preferAddressAfter(std::size_t failed)
{
    if (m_preferredAddress == failed) {
        m_preferredAddress = (failed + 1) % m_settings.addresses.size();
    }
}

} // namespace parsleyglade
