#include "entry/admin_responses.h"

#include <cassert>

namespace parsleyglade {

http_response adminResponse(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

http_response adminErrorResponse(const std::vector<failure> &failures, nlohmann::json body)
{
    assert(!failures.empty());
    const result_code_row &first = describe(failures.front().code);
    body["code"] = static_cast<int>(first.code);
    body["name"] = first.name;
    body["reason"] = failures.front().reason;
    body["remedy"] = first.remedy;
    body["failures"] = nlohmann::json::array();
    for (const failure &each : failures) {
        const result_code_row &row = describe(each.code);
        body["failures"].push_back(
            {{"code", static_cast<int>(each.code)}, {"name", row.name}, {"pointer", each.pointer}, {"reason", each.reason}, {"remedy", row.remedy}});
    }
    return adminResponse(describe(failures.front().code).httpStatus, body);
}

} // namespace parsleyglade
