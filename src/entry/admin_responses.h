#pragma once

#include "core/failure.h"
#include "transport/http_message.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace parsleyglade {

/** A JSON answer of the operators' interface. */
http_response adminResponse(int status, const nlohmann::json &body);

/** A refusal with every failure; its status is that of the first. @pre failures is not empty */
http_response adminErrorResponse(const std::vector<failure> &failures, nlohmann::json body = nlohmann::json::object());

} // namespace parsleyglade
