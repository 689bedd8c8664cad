#include "control/entry_host_settings.h"

#include "core/json_checker.h"

#include <map>

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
                         "configurationBoundMilliseconds", "revocationBoundMilliseconds", "remoteRunFactor"});

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
    if (checker.has("revocationBoundMilliseconds")) {
        settings.revocationBound = secondsOf(checker.member("revocationBoundMilliseconds").number(1, maximumMilliseconds) / millisecondsPerSecond);
    }
    if (checker.has("remoteRunFactor")) {
        settings.remoteRunFactor = checker.member("remoteRunFactor").number(1, maximumRemoteRunFactor);
    }
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
