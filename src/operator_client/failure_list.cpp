#include "operator_client/failure_list.h"

#include "operator_client/json_fields.h"

namespace parsleyglade {

namespace {

void addFailure(const nlohmann::json &entry, std::vector<failure> &failures)
{
    const auto code = resultCodeFromNumber(static_cast<int>(integerField(entry, "code")));
    if (code && *code != result_code::ok) {
        const bool hasPointer = entry.contains("pointer");
        failures.push_back({*code, textField(entry, "reason"), hasPointer ? textField(entry, "pointer") : std::string()});
    }
}

} // namespace

std::string failureText(const std::vector<failure> &failures)
{
    std::string text;
    for (const failure &each : failures) {
        const result_code_row &row = describe(each.code);
        text += each.pointer.empty() ? std::string() : printable(each.pointer) + ": ";
        text += std::string(row.name) + " (" + std::to_string(static_cast<int>(each.code)) + "): " + printable(each.reason) + ". " + std::string(row.remedy)
            + "\n";
    }
    return text;
}

nlohmann::json failureJson(const std::vector<failure> &failures)
{
    nlohmann::json list = nlohmann::json::array();
    for (const failure &each : failures) {
        const result_code_row &row = describe(each.code);
        list.push_back({{"code", static_cast<int>(each.code)}, {"name", row.name}, {"pointer", each.pointer}, {"reason", each.reason}, {"remedy", row.remedy}});
    }
    return list;
}

std::vector<failure> failuresOfResponse(const nlohmann::json &response)
{
    std::vector<failure> failures;
    for (const nlohmann::json &each : arrayField(response, "failures")) {
        addFailure(each, failures);
    }
    if (failures.empty()) {
        addFailure(response, failures);
    }
    return failures;
}

} // namespace parsleyglade
