#pragma once

#include "fleet/fleet.h"
#include "runtime/runtime.h"
#include "tables/tables.h"
#include "transport/transport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace parsleyglade {

/** Probes the health of the endpoints in this data centre and keeps the latest observation of each. Owns the probe connections. */
class endpoint_task
{
public:
    endpoint_task(event_loop &loop, std::string dataCentre);
    endpoint_task(const endpoint_task &) = delete;
    endpoint_task &operator=(const endpoint_task &) = delete;
    ~endpoint_task() = default;

    /** Sets the callback that runs after each successful probe. */
    void onProbe(std::function<void(const std::string &host)> probed);

    /** Sets the tables in force. */
    void setTables(const std::shared_ptr<const tables> &published);

    /** Returns the latest observation of a host, or an empty one when the host is not published in this data centre. */
    endpoint_observation observation(const std::string &host) const;

    /** Adds a change to the number of this entry host's jobs in flight at a host. */
    void countInFlight(const std::string &host, int change);

    /** Records that a host has joined another pool, so that only probes from now on count as evidence of its health. */
    void recordPoolChange(const std::string &host);

private:
    struct probed_endpoint
    {
        std::string address;
        endpoint_observation observation;
        bool isProbing = false;
    };

    void probeAll();
    void probe(const std::string &host, probed_endpoint &endpoint);
    void handleProbeResult(const std::string &host, const call_result &result);

    event_loop &m_loop;
    std::string m_dataCentre;
    endpoint_client m_client;
    std::map<std::string, probed_endpoint> m_endpoints;
    std::function<void(const std::string &host)> m_probed = [](const std::string &) {
    };
    timer_subscription m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_logger{"endpoint"};
};

} // namespace parsleyglade
