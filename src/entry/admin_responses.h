#pragma once

#include "core/failure.h"
#include "transport/http_message.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace parsleyglade {

/** Builds a JSON response of the operators' interface. Invalid UTF-8 in the body is replaced. */
http_response adminResponse(int status, const nlohmann::json &body);

/**
 * Builds the error response for a rejected operator command. It lists every failure; the HTTP status, code and remedy at the top are
 * those of the first one.
 * @param body further members of the JSON body
 * @pre failures is not empty
 */
http_response adminErrorResponse(const std::vector<failure> &failures, nlohmann::json body = nlohmann::json::object());

} // namespace parsleyglade
