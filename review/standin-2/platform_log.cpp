#include "platform_log.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

constexpr auto appendTime = std::chrono::milliseconds{2};
constexpr std::size_t maximumItems = 500;
constexpr std::size_t bytesPerKilobyte = 1024;

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        text += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return text;
}

std::uint64_t readBigEndian(const std::string &bytes, std::size_t at)
{
    std::uint64_t value = 0;
    for (std::size_t index = at; index < at + 4; ++index) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[index]);
    }
    return value;
}

std::string keyOf(const std::string &record)
{
    return record.substr(1, static_cast<unsigned char>(record[0]));
}

std::string valueOf(const std::string &record)
{
    return record.substr(1 + static_cast<unsigned char>(record[0]));
}

std::string toBase64(const std::string &bytes)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = (group << 8U) | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? digits[(group >> (18U - 6U * static_cast<unsigned>(index))) & 63U] : '=';
        }
    }
    return text;
}

std::string valueIn(const http_request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::uint64_t numberIn(const http_request &request, const std::string &name, std::uint64_t otherwise)
{
    const std::string text = valueIn(request, name);
    return text.empty() ? otherwise : std::stoull(text);
}

} // namespace

platform_log::platform_log()
    : m_server([this](const http_request &request) { return answer(request); })
{
}

const std::string &platform_log::address() const
{
    return m_server.address();
}

void platform_log::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    add(m_topics[topic], static_cast<char>(key.size()) + key + value);
    m_appended.notify_all();
}

std::string platform_log::newest(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const topic_state &state = m_topics[topic];
    const auto found = state.newest.find(key);
    return found == state.newest.end() ? std::string() : valueOf(state.records[found->second]);
}

http_response platform_log::answer(const http_request &request)
{
    if (request.path == "/log-append") {
        return append(request);
    }
    if (request.path == "/log-read") {
        return read(request);
    }
    if (request.path == "/log-newest") {
        return listNewest(request);
    }
    return {404, "{}"};
}

http_response platform_log::append(const http_request &request)
{
    std::this_thread::sleep_for(appendTime);
    const std::lock_guard lock(m_mutex);
    topic_state &topic = m_topics[valueIn(request, "Topic")];
    const std::uint64_t offset = topic.records.size();
    if (numberIn(request, "At", offset) != offset) {
        return {412, nlohmann::json{{"EndOffset", offset}}.dump()};
    }
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
        const std::uint64_t length = readBigEndian(request.body, at);
        add(topic, request.body.substr(at + 4, length));
        at += 4 + length;
    }
    m_appended.notify_all();
    return {200, nlohmann::json{{"Offset", offset}, {"EndOffset", topic.records.size()}}.dump()};
}

http_response platform_log::read(const http_request &request)
{
    std::unique_lock lock(m_mutex);
    topic_state &topic = m_topics[valueIn(request, "Topic")];
    const std::uint64_t from = numberIn(request, "From", 0);
    const auto wait = std::chrono::milliseconds(numberIn(request, "WaitMs", 0));
    m_appended.wait_for(lock, wait, [&] { return topic.records.size() > from; });
    const std::size_t limit = numberIn(request, "MaxKb", bytesPerKilobyte) * bytesPerKilobyte;
    std::string body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    std::size_t bytes = 0;
    for (std::uint64_t offset = from; offset < topic.records.size() && (bytes == 0 || bytes < limit); ++offset) {
        body += bigEndian(topic.records[offset].size(), 4) + topic.records[offset];
        bytes += topic.records[offset].size();
    }
    return {200, body};
}

http_response platform_log::listNewest(const http_request &request)
{
    const std::lock_guard lock(m_mutex);
    const topic_state &topic = m_topics[valueIn(request, "Topic")];
    nlohmann::json items = nlohmann::json::array();
    bool hasMore = false;
    for (auto entry = topic.newest.upper_bound(valueIn(request, "After")); entry != topic.newest.end(); ++entry) {
        if (items.size() == maximumItems) {
            hasMore = true;
            break;
        }
        items.push_back({{"Key", entry->first}, {"Value", toBase64(valueOf(topic.records[entry->second]))}, {"Offset", entry->second}});
    }
    return {200, nlohmann::json{{"items", items}, {"HasMore", hasMore}, {"EndOffset", topic.records.size()}}.dump()};
}

void platform_log::add(topic_state &topic, const std::string &record)
{
    const std::string key = keyOf(record);
    if (valueOf(record).empty()) {
        topic.newest.erase(key);
    } else {
        topic.newest[key] = topic.records.size();
    }
    topic.records.push_back(record);
}

} // namespace review
