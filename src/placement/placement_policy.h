#pragma once

#include "placement/least_connections.h"
#include "placement/least_expected_work.h"
#include "placement/round_robin.h"
#include "placement/two_queue_ageing.h"

#include <string_view>
#include <variant>

namespace parsleyglade {

/** Policy by which an endpoint is selected for a job. The first alternative is the default. @see selectEndpoint */
using placement_policy = std::variant<least_expected_work, two_queue_ageing, least_connections, round_robin>;

/** The name of the policy as written in settings and reports. */
std::string_view name(const placement_policy &policy);

} // namespace parsleyglade
