#include "entry/entry_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace parsleyglade;
using nlohmann::json;

namespace {

json goodSettings()
{
    return {{"entryHost", "entry-1"},
            {"region", "hai-phong"},
            {"dataCentre", "le-chan"},
            {"callerAddress", "127.0.0.1:1001"},
            {"adminAddress", "127.0.0.1:1002"},
            {"peerAddress", "127.0.0.1:1003"},
            {"logAddresses", {"127.0.0.1:1004"}},
            {"hostListAddresses", {"127.0.0.1:1005"}},
            {"peers", json::array()},
            {"peerKey", "sixteen bytes or more"},
            {"operatorTokenSha256", std::string(64, 'a')},
            {"callers", {{{"name", "clinic"}, {"tokenSha256", std::string(64, 'b')}, {"share", 2.5}}}}};
}

} // namespace

// Guards against values that are misread and against changed defaults of settings missing in the file.
TEST_CASE("a correct settings file is read with its defaults")
{
    json file = goodSettings();
    file["appendIntervalMilliseconds"] = 20;
    const auto settings = parseEntrySettings(file.dump());
    REQUIRE(settings.hasValue());
    CHECK(settings->entryHost == "entry-1");
    CHECK(settings->appendInterval == std::chrono::milliseconds{20});
    CHECK(settings->claimStreams == 2);
    CHECK(settings->callers.at(0).share == 2.5);
}

// Guards against a process that starts with invalid settings, and against errors that do not point to the setting.
TEST_CASE("each invalid setting is rejected with its code and pointer")
{
    struct wrong_setting
    {
        std::string pointer;
        json value;
        result_code code;
        std::string reported;
    };
    const auto wrong = GENERATE(values<wrong_setting>({
        {"/surplus", 1, result_code::unknown_key, "/surplus"},
        {"/callerAddress", "localhost:1", result_code::invalid_value, "/callerAddress"},
        {"/logAddresses", json::array(), result_code::out_of_range, "/logAddresses"},
        {"/peerKey", "short", result_code::out_of_range, "/peerKey"},
        {"/operatorTokenSha256", std::string(64, 'G'), result_code::invalid_value, "/operatorTokenSha256"},
        {"/logLevel", "loud", result_code::invalid_value, "/logLevel"},
        {"/claimStreams", 0, result_code::out_of_range, "/claimStreams"},
        {"/claimStreams", "2", result_code::wrong_type, "/claimStreams"},
        {"/dedupWindowMinutes", 1000, result_code::out_of_range, "/dedupWindowMinutes"},
        {"/callers/0/share", -1, result_code::out_of_range, "/callers/0/share"},
        {"/callers/1", {{"name", "clinic"}, {"tokenSha256", std::string(64, 'c')}}, result_code::duplicate_name, "/callers/1"},
    }));
    CAPTURE(wrong.pointer);

    json file = goodSettings();
    if (wrong.pointer == "/callers/1") {
        file["callers"].push_back(wrong.value);
    } else {
        file[json::json_pointer(wrong.pointer)] = wrong.value;
    }
    const auto settings = parseEntrySettings(file.dump());
    REQUIRE_FALSE(settings.hasValue());
    CHECK(settings.failures().size() == 1);
    CHECK(settings.lastReason().code == wrong.code);
    CHECK(settings.lastReason().pointer == wrong.reported);
}

// Guards against a missing required key that is not reported until the process uses it.
TEST_CASE("every required key must be present")
{
    const json whole = goodSettings();
    for (const auto &item : whole.items()) {
        json file = whole;
        file.erase(item.key());
        CAPTURE(item.key());
        CHECK_FALSE(parseEntrySettings(file.dump()).hasValue());
    }
}
