#include "operator_client/status_text.h"

#include "operator_client/json_fields.h"
#include "operator_client/text_columns.h"

namespace parsleyglade {

namespace {

constexpr std::size_t shownDigestCharacters = 12;

/** Formats an age as a whole number in a suitable unit: below two minutes in seconds, below two hours in minutes and so on. */
std::string ageText(std::int64_t milliseconds)
{
    constexpr std::int64_t second = 1000;
    constexpr std::int64_t minute = 60 * second;
    constexpr std::int64_t hour = 60 * minute;
    constexpr std::int64_t day = 24 * hour;
    if (milliseconds < second) {
        return std::to_string(std::max<std::int64_t>(milliseconds, 0)) + " ms";
    }
    if (milliseconds < 2 * minute) {
        return std::to_string(milliseconds / second) + " s";
    }
    if (milliseconds < 2 * hour) {
        return std::to_string(milliseconds / minute) + " min";
    }
    if (milliseconds < 2 * day) {
        return std::to_string(milliseconds / hour) + " h";
    }
    return std::to_string(milliseconds / day) + " d";
}

std::string sinceText(const nlohmann::json &status, const nlohmann::json &entry)
{
    const std::int64_t since = integerField(entry, "sinceMilliseconds");
    return since == 0 ? "-" : ageText(integerField(status, "wallMilliseconds") - since);
}

std::string section(const std::string &heading, const text_columns &columns)
{
    const std::string rows = columns.text();
    return rows.empty() ? heading + ": none\n" : heading + ":\n" + rows;
}

std::string entryHosts(const nlohmann::json &status)
{
    text_columns columns({"entry host", "data centre", "reached", "revision", "digest", "log", "age"});
    for (const nlohmann::json &each : arrayField(status, "entryHosts")) {
        const bool isReached = booleanField(each, "asked");
        columns.add({textField(each, "name"), textField(each, "dataCentre"), isReached ? "yes" : "no: " + textField(each, "reason"),
                     std::to_string(integerField(each, "revision")), textField(each, "digest").substr(0, shownDigestCharacters),
                     booleanField(each, "logReachable") ? "reachable" : "not reachable", ageText(integerField(each, "knowledgeAgeMilliseconds"))});
    }
    return section("entry hosts", columns);
}

std::string hosts(const nlohmann::json &status)
{
    text_columns columns({"host", "pool", "data centre", "rack", "state", "for", "next step"});
    for (const nlohmann::json &each : arrayField(status, "hosts")) {
        columns.add({textField(each, "host"), textField(each, "pool"), textField(each, "dataCentre"), textField(each, "rack"), textField(each, "state"),
                     sinceText(status, each), textField(each, "nextStep")});
    }
    return section("hosts", columns);
}

std::string drains(const nlohmann::json &status)
{
    text_columns columns({"drain", "of", "name", "by", "for", "hosts left", "reason"});
    for (const nlohmann::json &each : arrayField(status, "drains")) {
        columns.add({textField(each, "id"), textField(each, "kind"), textField(each, "subject"), textField(each, "author"), sinceText(status, each),
                     std::to_string(integerField(each, "hostsRemaining")), textField(each, "reason")});
    }
    return section("drains", columns);
}

std::string waves(const nlohmann::json &status)
{
    text_columns columns({"wave", "state", "done", "for", "next step", "reason"});
    for (const nlohmann::json &each : arrayField(status, "waves")) {
        columns.add({textField(each, "id"), textField(each, "state"),
                     std::to_string(integerField(each, "hostsDone")) + " of " + std::to_string(integerField(each, "hostsPlanned")), sinceText(status, each),
                     textField(each, "nextStep"), textField(each, "reason")});
    }
    return section("waves", columns);
}

std::string refusals(const nlohmann::json &status)
{
    text_columns columns({"refused", "code", "times", "for", "reason", "remedy"});
    for (const nlohmann::json &each : arrayField(status, "refusals")) {
        columns.add({textField(each, "what"), textField(each, "name") + " (" + std::to_string(integerField(each, "code")) + ")",
                     std::to_string(integerField(each, "count")), sinceText(status, each), textField(each, "reason"), textField(each, "remedy")});
    }
    return section("refusals", columns);
}

} // namespace

std::string statusText(const nlohmann::json &status)
{
    return "revision " + std::to_string(integerField(status, "revision")) + ", digest " + textField(status, "digest").substr(0, shownDigestCharacters)
        + ", as seen by " + textField(status, "answeredBy") + "\n\n" + entryHosts(status) + "\n" + hosts(status) + "\n" + drains(status) + "\n" + waves(status)
        + "\n" + refusals(status);
}

std::string waveText(const nlohmann::json &wave)
{
    std::string text = "wave " + textField(wave, "id") + " is " + textField(wave, "state") + ", " + std::to_string(integerField(wave, "hostsDone")) + " of "
        + std::to_string(integerField(wave, "hostsPlanned")) + " hosts done\n";
    text_columns columns({"step", "hosts", "pools"});
    std::size_t number = 0;
    const auto joined = [](const nlohmann::json &names) {
        std::string list;
        for (const nlohmann::json &each : names) {
            list += (list.empty() ? "" : " ") + (each.is_string() ? printable(each.get<std::string>()) : "-");
        }
        return list;
    };
    for (const nlohmann::json &step : arrayField(wave, "steps")) {
        columns.add({std::to_string(++number), joined(arrayField(step, "hosts")), joined(arrayField(step, "pools"))});
    }
    return text + columns.text();
}

} // namespace parsleyglade
