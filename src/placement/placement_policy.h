#pragma once

#include "placement/least_connections.h"
#include "placement/least_expected_work.h"
#include "placement/round_robin.h"
#include "placement/two_queue_ageing.h"

#include <string_view>
#include <variant>

namespace parsleyglade {

/** How an endpoint is selected. The first alternative is the default. @see selectEndpoint */
using placement_policy = std::variant<least_expected_work, two_queue_ageing, least_connections, round_robin>;

/** The name of the policy as settings and reports spell it. */
std::string_view name(const placement_policy &policy);

} // namespace parsleyglade
