#include "control/entry_host_settings.h"

#include "core/json_checker.h"

#include <charconv>
#include <map>
#include <optional>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumBytes = std::size_t{64} * 1024;
constexpr std::size_t maximumName = 128;
constexpr double maximumSeconds = 3'600;
constexpr double minimumProcessorShare = 0.001;
constexpr double maximumProcessorShare = 1'024;
constexpr double millisecondsPerSecond = 1'000;
constexpr double maximumRemoteRunFactor = 100;
constexpr double minimumDescriptors = 256;
constexpr double maximumDescriptors = 1'000'000;

duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::string optionalAddress(const json_checker &document, std::string_view key)
{
    json_checker value = document.member(key);
    if (!document.has(key) || value.text(0, maximumName).empty()) {
        return {};
    }
    return value.address();
}

/** Whether a text stands for a value that the deployment does not have: it is empty, or a placeholder of the template that nothing has filled in. */
bool isUnset(std::string_view text)
{
    return text.empty() || (text.starts_with("{{") && text.ends_with("}}"));
}

/** Reads an optional number, which may be given as text. Adds wrong_type or out_of_range. Returns nothing if it is not set. */
std::optional<double> optionalNumber(const nlohmann::json &document, json_checker &checker, const std::string &key, double minimum, double maximum)
{
    json_checker value = checker.member(key);
    if (!checker.has(key)) {
        return std::nullopt;
    }
    if (!document[key].is_string()) {
        return value.number(minimum, maximum);
    }
    const std::string text = value.text(0, maximumName);
    if (isUnset(text)) {
        return std::nullopt;
    }
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        value.fail(result_code::wrong_type, "must be a number");
        return std::nullopt;
    }
    if (number < minimum || number > maximum) {
        value.fail(result_code::out_of_range, "is out of range");
        return std::nullopt;
    }
    return number;
}

/** Reads an optional boolean, which may be given as text. Adds wrong_type or invalid_value. @param otherwise if the document has no such key; one without a
    value counts as false */
bool optionalBoolean(const nlohmann::json &document, json_checker &checker, const std::string &key, bool otherwise)
{
    json_checker value = checker.member(key);
    if (!checker.has(key)) {
        return otherwise;
    }
    if (!document[key].is_string()) {
        return value.boolean();
    }
    return !isUnset(document[key].get<std::string>()) && value.oneOf({"true", "false"}) == "true";
}

} // namespace

outcome<entry_host_settings> parseEntryHostSettings(const std::string &text)
{
    const auto document = json_checker::parse(text, maximumBytes);
    if (!document) {
        return document.failures();
    }

    std::vector<failure> failures;
    json_checker checker(*document, failures);
    checker.checkObject({"entryHost", "dataCentre", "region", "callerAddress", "readinessAddress", "peerAddress", "storeAddress", "sharedKey",
                         "gracePeriodSeconds", "maximumLeaseMilliseconds", "hostOrderLeaseMilliseconds"},
                        {"hostServiceAddress", "adviceAddress", "metricsAddress", "logLevel", "processorShare", "maximumDescriptors",
                         "configurationBoundMilliseconds", "revocationBoundMilliseconds", "strictRevocation", "remoteRunFactor"});

    entry_host_settings settings;
    settings.entryHost = checker.member("entryHost").identifier(maximumName);
    settings.dataCentre = checker.member("dataCentre").identifier(maximumName);
    settings.region = checker.member("region").identifier(maximumName);
    settings.callerAddress = checker.member("callerAddress").address();
    settings.readinessAddress = checker.member("readinessAddress").address();
    settings.peerAddress = checker.member("peerAddress").address();
    settings.storeAddress = checker.member("storeAddress").address();
    settings.hostServiceAddress = optionalAddress(checker, "hostServiceAddress");
    settings.adviceAddress = optionalAddress(checker, "adviceAddress");
    settings.metricsAddress = optionalAddress(checker, "metricsAddress");
    settings.sharedKey = checker.member("sharedKey").text(1, maximumName);
    const double maximumMilliseconds = maximumSeconds * millisecondsPerSecond;
    settings.gracePeriod = secondsOf(checker.member("gracePeriodSeconds").number(0, maximumSeconds));
    settings.maximumLease = secondsOf(checker.member("maximumLeaseMilliseconds").number(1, maximumMilliseconds) / millisecondsPerSecond);
    settings.hostOrderLease = secondsOf(checker.member("hostOrderLeaseMilliseconds").number(0, maximumMilliseconds) / millisecondsPerSecond);
    if (checker.has("configurationBoundMilliseconds")) {
        settings.configurationBound = secondsOf(checker.member("configurationBoundMilliseconds").number(1, maximumMilliseconds) / millisecondsPerSecond);
    }
    const auto revocationBound = optionalNumber(*document, checker, "revocationBoundMilliseconds", 1, maximumMilliseconds);
    const bool isStrict = optionalBoolean(*document, checker, "strictRevocation", true);
    if (revocationBound && isStrict) {
        settings.revocationBound = secondsOf(*revocationBound / millisecondsPerSecond);
    }
    settings.remoteRunFactor = optionalNumber(*document, checker, "remoteRunFactor", 1, maximumRemoteRunFactor).value_or(settings.remoteRunFactor);
    if (checker.has("processorShare")) {
        settings.processorShare = checker.member("processorShare").number(minimumProcessorShare, maximumProcessorShare);
    }
    if (checker.has("maximumDescriptors")) {
        settings.maximumDescriptors = static_cast<std::size_t>(checker.member("maximumDescriptors").number(minimumDescriptors, maximumDescriptors));
    }
    if (checker.has("logLevel")) {
        static const std::map<std::string, log_level> levels{
            {"debug", log_level::debug}, {"info", log_level::info}, {"warning", log_level::warning}, {"error", log_level::error}};
        const auto found = levels.find(checker.member("logLevel").oneOf({"debug", "info", "warning", "error"}));
        settings.logLevel = found == levels.end() ? log_level::info : found->second;
    }
    if (!failures.empty()) {
        return failures;
    }
    return settings;
}

} // namespace parsleyglade
