#pragma once

#include "transport/http_message.h"

#include <optional>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** Returns the bearer token of a request (RFC 6750, section 2.1), valid as long as the headers; nothing if there is none. */
std::optional<std::string_view> findBearerToken(const std::vector<http_header> &headers);

/** Returns the header that a response with status 401 must have (RFC 9110, section 11.6.1). */
http_header bearerChallenge();

} // namespace parsleyglade
