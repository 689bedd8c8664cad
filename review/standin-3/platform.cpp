#include "standin.h"

#include <algorithm>
#include <memory>
#include <vector>

/** The platform's store, and the service that lists its machines. */
namespace standin {

namespace {

constexpr std::size_t maximumRecordBytes = 262'144;
constexpr std::size_t maximumCallBytes = 2'097'152;
constexpr std::size_t maximumItems = 500;
constexpr std::size_t maximumPageBytes = 1024 * 1024;
constexpr std::int64_t answerDelay = 4;
constexpr std::int64_t entryLifetime = 4'500; // three check-ins of 1,500 ms
constexpr std::int64_t entryCheckInterval = 250;
constexpr const char *registryTopic = "keyed.servers";
constexpr const char *binaryType = "application/octet-stream";

struct newest_record
{
    std::uint64_t offset = 0;
    std::string value;
};

struct waiting_read
{
    request handle;
    std::uint64_t from = 0;
    std::size_t maximumBytes = 0;
    std::int64_t until = 0;
};

struct topic
{
    std::vector<std::string> records;
    std::map<std::string, newest_record> newest;
    std::vector<waiting_read> readers;
};

std::map<std::string, topic> topics;
std::map<std::string, std::int64_t> checkIns; // when the entry of each executor was last written

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        text += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return text;
}

std::string toBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t next = 0; next < 3; ++next) {
            group = (group << 8U) | (index + next < bytes.size() ? static_cast<unsigned char>(bytes[index + next]) : 0U);
        }
        for (std::size_t next = 0; next < 4; ++next) {
            text += index + next > bytes.size() ? '=' : digits[(group >> (18U - 6U * next)) & 63U];
        }
    }
    return text;
}

/** Splits the body of an append into the contents of its records. Returns nothing useful, and false, if it is not valid. */
bool splitRecords(const std::string &body, std::vector<std::string> &records)
{
    std::size_t position = 0;
    while (position + 4 <= body.size()) {
        std::size_t length = 0;
        for (std::size_t next = 0; next < 4; ++next) {
            length = (length << 8U) | static_cast<unsigned char>(body[position + next]);
        }
        position += 4;
        if (position + length > body.size()) {
            return false;
        }
        records.push_back(body.substr(position, length));
        position += length;
    }
    return position == body.size();
}

void answerRead(const request &handle, const topic &source, std::uint64_t from, std::size_t maximumBytes)
{
    std::string bytes = bigEndian(source.records.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t offset = from; offset < source.records.size(); ++offset) {
        const std::string &content = source.records[offset];
        if (offset > from && bytes.size() + content.size() > maximumBytes) {
            break;
        }
        bytes += bigEndian(content.size(), 4) + content;
    }
    handle.answer(200, bytes, binaryType);
}

void addRecord(const std::string &name, topic &target, const std::string &content)
{
    target.records.push_back(content);
    if (!name.starts_with("keyed.") || content.empty()) {
        return;
    }
    const std::size_t keyLength = static_cast<unsigned char>(content.front());
    const std::string key = content.substr(1, keyLength);
    const std::string value = content.size() > 1 + keyLength ? content.substr(1 + keyLength) : std::string();
    if (name == registryTopic) {
        checkIns[key] = steadyNow();
    }
    if (value.empty()) {
        target.newest.erase(key);
    } else {
        target.newest[key] = {target.records.size() - 1, value};
    }
}

void wakeReaders(topic &source)
{
    std::vector<waiting_read> waiting;
    for (waiting_read &reader : source.readers) {
        if (reader.from < source.records.size() || steadyNow() >= reader.until) {
            answerRead(reader.handle, source, reader.from, reader.maximumBytes);
        } else {
            waiting.push_back(reader);
        }
    }
    source.readers = std::move(waiting);
}

void append(const request &handle)
{
    const std::string name = handle.parameter("Topic");
    const bool isReserved = name == "keyed.op" || name == registryTopic;
    const std::string body = handle.body();
    std::vector<std::string> records;
    if (isReserved && handle.header("Standin-Writer").empty()) {
        handle.answer(403, json::object());
        return;
    }
    const bool isValid = splitRecords(body, records);
    const bool isTooLarge = body.size() > maximumCallBytes
        || std::any_of(records.begin(), records.end(), [](const std::string &content) { return content.size() > maximumRecordBytes; });
    if (!isValid || isTooLarge) {
        std::size_t largest = 0;
        for (const std::string &content : records) {
            largest = std::max(largest, content.size());
        }
        record("store refuses an append topic=" + name + " bytes=" + std::to_string(body.size()) + " largest-record=" + std::to_string(largest)
               + " limit=" + std::to_string(maximumRecordBytes));
        handle.answer(400, json{{"Reason", "size"}});
        return;
    }
    topic &target = topics[name];
    const std::string expected = handle.parameter("At");
    if (!expected.empty() && std::stoull(expected) != target.records.size()) {
        handle.answer(412, json{{"EndOffset", target.records.size()}});
        return;
    }
    const std::uint64_t offset = target.records.size();
    for (const std::string &content : records) {
        addRecord(name, target, content);
    }
    wakeReaders(target);
    handle.answer(200, json{{"Offset", offset}, {"EndOffset", target.records.size()}});
}

void read(const request &handle)
{
    constexpr std::int64_t defaultKilobytes = 1024;
    topic &source = topics[handle.parameter("Topic")];
    const auto from = static_cast<std::uint64_t>(handle.number("From", 0));
    const auto maximumBytes = static_cast<std::size_t>(handle.number("MaxKb", defaultKilobytes)) * 1024;
    const std::int64_t wait = handle.number("WaitMs", 0);
    if (from < source.records.size() || wait == 0) {
        answerRead(handle, source, from, maximumBytes);
        return;
    }
    source.readers.push_back({handle, from, maximumBytes, steadyNow() + wait});
    after(wait + 1, [name = handle.parameter("Topic")] { wakeReaders(topics[name]); });
}

void readNewest(const request &handle)
{
    const topic &source = topics[handle.parameter("Topic")];
    json items = json::array();
    std::size_t bytes = 0;
    auto next = handle.parameter("After").empty() ? source.newest.begin() : source.newest.upper_bound(handle.parameter("After"));
    for (; next != source.newest.end() && items.size() < maximumItems && bytes < maximumPageBytes; ++next) {
        items.push_back({{"Key", next->first}, {"Value", toBase64(next->second.value)}, {"Offset", next->second.offset}});
        bytes += next->second.value.size();
    }
    handle.answer(200, json{{"items", items}, {"HasMore", next != source.newest.end()}, {"EndOffset", source.records.size()}});
}

void handleStore(const request &handle)
{
    const std::string path = handle.path();
    after(answerDelay, [handle, path] {
        if (path == "/log-append") {
            append(handle);
        } else if (path == "/log-read") {
            read(handle);
        } else if (path == "/log-newest") {
            readNewest(handle);
        } else {
            handle.answer(404, json::object());
        }
    });
}

/** Lists one machine for each executor of the registry. */
void handleMachines(const request &handle)
{
    json machines = json::array();
    for (const auto &[id, entry] : topics[registryTopic].newest) {
        const json executor = json::parse(entry.value, nullptr, false);
        if (!executor.is_object() || !executor.contains("Machine")) {
            continue;
        }
        machines.push_back({{"Machine", executor["Machine"]},
                            {"Pool", executor["Service"]},
                            {"State", "up"},
                            {"Zone", executor["Zone"]},
                            {"Labels", executor["Labels"]},
                            {"Capacity", executor["Capacity"]},
                            {"Id", id}});
    }
    handle.answer(200, json{{"Machines", machines}, {"NextToken", nullptr}});
}

/** Drops the entries of executors that have been silent for three check-ins. */
void dropSilentExecutors()
{
    topic &registry = topics[registryTopic];
    const auto known = checkIns;
    for (const auto &[id, writtenAt] : known) {
        if (registry.newest.contains(id) && steadyNow() - writtenAt > entryLifetime) {
            addRecord(registryTopic, registry, static_cast<char>(id.size()) + id);
            record("registry drops executor=" + id);
        }
    }
    wakeReaders(registry);
    after(entryCheckInterval, dropSilentExecutors);
}

} // namespace

int runPlatform(const std::map<std::string, std::string> &options)
{
    openRecord(options.at("record"));
    serve(options.at("store"), handleStore);
    serve(options.at("machines"), [](const request &handle) {
        if (handle.isPost()) {
            handle.answer(409, json{{"Reason", "busy"}});
        } else {
            handleMachines(handle);
        }
    });
    dropSilentExecutors();
    event_base_dispatch(loop());
    return 0;
}

} // namespace standin
