#pragma once

#include "core/failure.h"
#include <nlohmann/json.hpp>

#include <vector>

namespace parsleyglade {

/** One line for each failure: place, name and number of the code, reason and remedy. */
std::string failureText(const std::vector<failure> &failures);

/** [{"code","name","pointer","reason","remedy"}] */
nlohmann::json failureJson(const std::vector<failure> &failures);

/**
 * The failures of an error answer of the admin interface: those of its list, or the answer's own when it has no list. Empty when the
 * answer has no known result code.
 */
std::vector<failure> failuresOfResponse(const nlohmann::json &response);

} // namespace parsleyglade
