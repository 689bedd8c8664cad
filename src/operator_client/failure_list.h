#pragma once

#include "core/failure.h"
#include <nlohmann/json.hpp>

#include <vector>

namespace parsleyglade {

/** Formats each failure as one line: JSON pointer if there is one, name and number of the result code, reason and remedy. */
std::string failureText(const std::vector<failure> &failures);

/** Returns the failures as a JSON array of objects with the members code, name, pointer, reason and remedy. */
nlohmann::json failureJson(const std::vector<failure> &failures);

/**
 * Returns the failures in an error response of the admin interface: the entries of its "failures" array, or, if none of them has a known
 * result code, the failure given by the response itself. Empty if that has no known result code either.
 */
std::vector<failure> failuresOfResponse(const nlohmann::json &response);

} // namespace parsleyglade
