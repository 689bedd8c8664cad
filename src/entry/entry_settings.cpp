#include "entry/entry_settings.h"

#include "core/json_checker.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumAddresses = 64;
constexpr std::size_t maximumCallers = 10'000;
constexpr std::size_t minimumKeyBytes = 16;
constexpr std::size_t maximumKeyBytes = 256;
constexpr std::size_t sha256HexBytes = 64;
constexpr std::int64_t millisecondsPerMinute = 60'000;
constexpr std::int64_t minutesPerDay = std::int64_t{24} * 60;
constexpr std::int64_t largestBodyBytes = std::int64_t{3} * 1024 * 1024;

std::vector<std::string> readAddresses(json_checker list, std::size_t minimum)
{
    std::vector<std::string> addresses;
    for (json_checker &element : list.elements(minimum, maximumAddresses)) {
        addresses.push_back(element.address());
    }
    return addresses;
}

std::string readSha256(json_checker value)
{
    std::string text = value.text(sha256HexBytes, sha256HexBytes);
    if (!text.empty() && text.find_first_not_of("0123456789abcdef") != std::string::npos) {
        value.fail(result_code::invalid_value, "must be a SHA-256 in lower-case hexadecimal");
    }
    return text;
}

caller_settings readCaller(json_checker value)
{
    caller_settings caller;
    if (!value.checkObject({"name", "tokenSha256"}, {"team", "share"})) {
        return caller;
    }

    caller.name = value.member("name").identifier();
    caller.tokenSha256 = readSha256(value.member("tokenSha256"));
    if (value.has("team")) {
        caller.team = value.member("team").identifier();
    }
    if (value.has("share")) {
        caller.share = value.member("share").number(0.01, 100.0);
    }
    return caller;
}

void readCallers(json_checker list, entry_settings &settings)
{
    for (const json_checker &element : list.elements(0, maximumCallers)) {
        settings.callers.push_back(readCaller(element));
        const caller_settings &added = settings.callers.back();
        const auto repeats = std::count_if(settings.callers.begin(), settings.callers.end(),
                                           [&](const caller_settings &other) { return other.name == added.name || other.tokenSha256 == added.tokenSha256; });
        if (repeats > 1) {
            json_checker repeated = element;
            repeated.fail(result_code::duplicate_name, "another caller has the same name or token");
        }
    }
}

log_level readLogLevel(json_checker value)
{
    const std::string level = value.oneOf({"debug", "info", "warning", "error"});
    if (level == "debug") {
        return log_level::debug;
    }
    if (level == "warning") {
        return log_level::warning;
    }
    return level == "error" ? log_level::error : log_level::info;
}

/** Reads optional integer settings with their limits. A missing setting keeps the field's default. */
class optional_numbers
{
public:
    explicit optional_numbers(const json_checker &document)
        : m_document(document)
    {
    }

    std::int64_t read(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue) const
    {
        return m_document.has(key) ? m_document.member(key).integer(minimum, maximum) : defaultValue;
    }

    void milliseconds(std::string_view key, std::int64_t minimum, std::int64_t maximum, duration &field) const
    {
        const auto defaultValue = std::chrono::duration_cast<std::chrono::milliseconds>(field).count();
        field = std::chrono::milliseconds{read(key, minimum, maximum, defaultValue)};
    }

    template <typename Duration> void minutes(std::string_view key, std::int64_t minimum, std::int64_t maximum, Duration &field) const
    {
        const auto defaultValue = std::chrono::duration_cast<std::chrono::milliseconds>(field).count() / millisecondsPerMinute;
        field = std::chrono::milliseconds{read(key, minimum, maximum, defaultValue) * millisecondsPerMinute};
    }

    void count(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::size_t &field) const
    {
        field = static_cast<std::size_t>(read(key, minimum, maximum, static_cast<std::int64_t>(field)));
    }

private:
    const json_checker &m_document;
};

void readLimits(const json_checker &document, entry_settings &settings)
{
    const optional_numbers numbers(document);
    settings.claimStreams = static_cast<std::int32_t>(numbers.read("claimStreams", 1, 64, settings.claimStreams));
    numbers.milliseconds("appendIntervalMilliseconds", 1, 1000, settings.appendInterval);
    numbers.minutes("dedupWindowMinutes", 1, 7 * minutesPerDay, settings.dedupWindow);
    numbers.minutes("logRetentionMinutes", 2, 90 * minutesPerDay, settings.logRetention);
    numbers.milliseconds("dispatcherLostMilliseconds", 1000, 3'600'000, settings.dispatcherLostTimeout);
    numbers.minutes("snapshotIntervalMinutes", 1, 7 * minutesPerDay, settings.snapshotInterval);
    numbers.count("maximumClaims", 100, 10'000'000, settings.maximumClaims);
    numbers.count("maximumQueuedJobs", 1, 100'000, settings.maximumQueuedJobs);
    numbers.count("maximumQueuedJobsOfCaller", 1, 100'000, settings.maximumQueuedJobsOfCaller);
    numbers.count("maximumCallerConnections", 1, 100'000, settings.maximumCallerConnections);
    numbers.count("maximumBodyBytes", 1, largestBodyBytes, settings.maximumBodyBytes);
    numbers.milliseconds("drainLimitMilliseconds", 0, 3'600'000, settings.drainTimeout);

    // Records must be retained longer than the keys that they protect, with a margin for a log outage that delays snapshots.
    if (settings.dedupWindow * 2 > settings.logRetention) {
        json_checker window = document.has("dedupWindowMinutes") ? document.member("dedupWindowMinutes") : document;
        window.fail(result_code::out_of_range, "dedupWindowMinutes must be at most half of logRetentionMinutes");
    }
}

} // namespace

outcome<entry_settings> parseEntrySettings(std::string_view text)
{
    const auto parsed = json_checker::parse(text, maximumSettingsBytes);
    if (!parsed) {
        return parsed.failures();
    }

    std::vector<failure> failures;
    json_checker document(*parsed, failures);
    entry_settings settings;
    const bool isObject = document.checkObject({"entryHost", "region", "dataCentre", "callerAddress", "adminAddress", "peerAddress", "logAddresses",
                                                "hostListAddresses", "peers", "peerKey", "operatorTokenSha256", "callers"},
                                               {"logLevel", "claimStreams", "appendIntervalMilliseconds", "dedupWindowMinutes", "logRetentionMinutes",
                                                "dispatcherLostMilliseconds", "snapshotIntervalMinutes", "maximumClaims", "maximumQueuedJobs",
                                                "maximumQueuedJobsOfCaller", "maximumCallerConnections", "maximumBodyBytes", "drainLimitMilliseconds"});
    if (isObject) {
        settings.entryHost = document.member("entryHost").identifier();
        settings.region = document.member("region").identifier();
        settings.dataCentre = document.member("dataCentre").identifier();
        settings.callerAddress = document.member("callerAddress").address();
        settings.adminAddress = document.member("adminAddress").address();
        settings.peerAddress = document.member("peerAddress").address();
        settings.logAddresses = readAddresses(document.member("logAddresses"), 1);
        settings.hostListAddresses = readAddresses(document.member("hostListAddresses"), 1);
        settings.peers = readAddresses(document.member("peers"), 0);
        settings.peerKey = document.member("peerKey").text(minimumKeyBytes, maximumKeyBytes);
        settings.operatorTokenSha256 = readSha256(document.member("operatorTokenSha256"));
        readCallers(document.member("callers"), settings);
        if (document.has("logLevel")) {
            settings.logLevel = readLogLevel(document.member("logLevel"));
        }
        readLimits(document, settings);
    }

    if (!failures.empty()) {
        return failures;
    }
    return settings;
}

} // namespace parsleyglade
