#pragma once

#include "core/time_types.h"
#include "wire/resources.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace parsleyglade {

/** State of a host in the platform's host list. */
enum class host_state {
    up,
    moving, /**< Being moved to another pool. */
    maintenance,
    down,
};

/** Names of the states, indexed by enum value. */
constexpr std::array<std::string_view, 4> hostStateNames{"up", "moving", "maintenance", "down"};

constexpr std::string_view name(host_state state)
{
    return hostStateNames.at(static_cast<std::size_t>(state));
}

/** Entry of the platform's host list. */
struct host_description
{
    std::string name;
    std::string pool; /**< Name of the service whose pool the host belongs to. */
    host_state state = host_state::down;
    std::string dataCentre;
    std::string rack;
    std::string executor; /**< Id of the executor on the host; empty while none is running. */
    resources capacity;
};

/** The operator's request to maintain each of a set of hosts once. */
struct wave_request
{
    std::int64_t wave = 0;
    std::set<std::string> hosts;
    duration within{}; /**< Time within which the wave should be completed, counted from the request. */
    int cap = 1; /**< Maximum number of hosts in maintenance at the same time. */
};

/** Order to put a host into maintenance or to move it to another pool. */
struct host_order
{
    std::string host;
    std::int64_t wave = 0; /**< Number of the maintenance wave; 0 for a move. */
    std::string pool; /**< Target pool of a move; empty for maintenance. */
    std::int64_t fence = 0; /**< Fencing token of the leader. */
};

/** Result of an order for a host. */
enum class host_order_result {
    done, /**< Carried out, possibly by an earlier copy of the order. */
    busy, /**< The host is not up or is already leaving its pool. */
    not_in_wave, /**< The host is not part of the wave. */
    fenced, /**< The host service has received a higher fencing token. */
    invalid, /**< The host does not exist, or the pool does not accept this kind of host. */
    refused, /**< Rejected without effect; the order may be retried. */
    unanswered, /**< No response. The order may have been carried out. */
};

/** Names of the results, indexed by enum value. */
constexpr std::array<std::string_view, 7> hostOrderResultNames{"done", "busy", "not-in-wave", "fenced", "invalid", "refused", "unanswered"};

constexpr std::string_view name(host_order_result result)
{
    return hostOrderResultNames.at(static_cast<std::size_t>(result));
}

} // namespace parsleyglade
