#pragma once

#include "core/outcome.h"
#include "external/host_list_client.h"

#include <string>
#include <string_view>

namespace parsleyglade {

/** Encodes a host list as JSON, in the form that GET /v1/hosts returns. */
std::string hostListToJson(const host_list &list);

/** Decodes the JSON text of a host list. Unknown keys are ignored. Fails with host_list_unavailable and a JSON pointer to the malformed value. */
outcome<host_list> hostListFromJson(std::string_view text);

} // namespace parsleyglade
