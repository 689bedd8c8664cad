#pragma once

#include "core/outcome.h"

#include <functional>
#include <string>
#include <vector>

namespace parsleyglade {

/** What a host does: entry hosts accept jobs from callers, endpoints run them. */
enum class host_role {
    entry,
    endpoint,
};

/** Whether a host is in service or is being taken out of it. */
enum class host_state {
    live,
    leaving,
};

/** One host of a host_list. */
struct listed_host
{
    std::string host;
    std::string region;
    std::string dataCentre;
    std::string rack;
    std::string address; /**< IP:PORT. */
    host_role role = host_role::endpoint;
    host_state state = host_state::live;
};

/** The platform's list of hosts. It may lag behind the actual state. */
struct host_list
{
    std::vector<listed_host> hosts;
};

/** Client of the host list. The callback runs once, on the event loop, and never before the call has returned. */
class host_list_client
{
public:
    host_list_client() = default;
    host_list_client(const host_list_client &) = delete;
    host_list_client &operator=(const host_list_client &) = delete;
    virtual ~host_list_client() = default;

    /** Fetches the current list. Fails with host_list_unavailable. */
    virtual void fetch(std::function<void(outcome<host_list>)> done) = 0;
};

} // namespace parsleyglade
