#include "standin_store.h"

#include "external/base64.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr duration pollInterval = std::chrono::milliseconds{5};

std::string queryValue(const http_request &request, const std::string &name)
{
    const std::string query = "&" + request.query;
    const std::size_t at = query.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 2;
    const std::string encoded = query.substr(begin, query.find('&', begin) - begin);
    const std::unique_ptr<char, void (*)(void *)> decoded(evhttp_uridecode(encoded.c_str(), 0, nullptr), std::free);
    return decoded ? decoded.get() : std::string();
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        text += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return text;
}

http_response makeResponse(int status, const nlohmann::json &body)
{
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

std::string keyOf(const std::string &record)
{
    return record.substr(1, static_cast<unsigned char>(record[0]));
}

std::string valueOf(const std::string &record)
{
    return record.substr(1 + static_cast<unsigned char>(record[0]));
}

} // namespace

standin_store::standin_store(event_loop &loop)
    : m_loop(loop)
    , m_server(
          loop, {}, [this](const exchange_pointer &exchange) { handle(exchange); }, [](result_code) { return makeResponse(400, {}); })
    , m_address("127.0.0.1:" + std::to_string(m_server.listen().value()))
{
}

const std::string &standin_store::address() const
{
    return m_address;
}

void standin_store::trimHistory(const std::string &topic)
{
    m_topics[topic].first = m_topics[topic].records.size();
}

void standin_store::handle(const exchange_pointer &exchange)
{
    fault next = fault::none;
    if (!faults.empty()) {
        next = faults.front();
        faults.pop_front();
    }
    if (next == fault::busy) {
        exchange->respond(makeResponse(503, {}));
        return;
    }
    if (next == fault::request_lost) {
        m_unansweredExchanges.push_back(exchange);
        return;
    }

    const http_request &request = exchange->request();
    const std::string topic = queryValue(request, "Topic");
    if (request.path == "/log-read") {
        const std::string wait = queryValue(request, "WaitMs");
        read(topic, exchange, m_loop.now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait)));
        return;
    }
    const http_response response = request.path == "/log-append" ? append(m_topics[topic], request) : newest(m_topics[topic], request);
    if (next == fault::response_lost) {
        m_unansweredExchanges.push_back(exchange);
    } else {
        exchange->respond(response);
    }
}

http_response standin_store::append(topic_state &topic, const http_request &request)
{
    const std::string expected = queryValue(request, "At");
    const std::uint64_t end = topic.records.size();
    if (!expected.empty() && std::stoull(expected) != end) {
        return makeResponse(412, {{"EndOffset", end}});
    }
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
        std::size_t length = 0;
        for (std::size_t byte = 0; byte < 4; ++byte) {
            length = length << 8U | static_cast<unsigned char>(request.body[at + byte]);
        }
        topic.records.push_back(request.body.substr(at + 4, length));
        at += 4 + length;
    }
    return makeResponse(200, {{"Offset", end}, {"EndOffset", topic.records.size()}});
}

http_response standin_store::newest(const topic_state &topic, const http_request &request) const
{
    std::map<std::string, std::pair<std::string, std::size_t>> values;
    for (std::size_t offset = 0; offset < topic.records.size(); ++offset) {
        values[keyOf(topic.records[offset])] = {valueOf(topic.records[offset]), offset};
    }
    const std::string after = queryValue(request, "After");
    nlohmann::json items = nlohmann::json::array();
    bool hasMore = false;
    for (const auto &[key, value] : values) {
        if (key <= after || value.first.empty()) {
            continue;
        }
        if (items.size() == pageSize) {
            hasMore = true;
            break;
        }
        items.push_back({{"Key", key}, {"Value", toBase64(value.first)}, {"Offset", value.second}});
    }
    return makeResponse(200, {{"items", items}, {"HasMore", hasMore}, {"EndOffset", topic.records.size()}});
}

void standin_store::read(const std::string &name, const exchange_pointer &exchange, time_point until)
{
    const topic_state &topic = m_topics[name];
    const std::uint64_t from = std::stoull(queryValue(exchange->request(), "From"));
    if (from < topic.first) {
        exchange->respond(makeResponse(410, {{"FirstOffset", topic.first}}));
        return;
    }
    if (from >= topic.records.size() && m_loop.now() < until) {
        m_waitingReads.push_back(m_loop.after(pollInterval, [this, name, exchange, until] { read(name, exchange, until); }));
        return;
    }
    http_response response;
    response.body = bigEndian(topic.records.size(), 8) + bigEndian(topic.first, 8);
    for (std::uint64_t offset = from; offset < topic.records.size(); ++offset) {
        response.body += bigEndian(topic.records[offset].size(), 4) + topic.records[offset];
    }
    exchange->respond(response);
}

} // namespace parsleyglade
