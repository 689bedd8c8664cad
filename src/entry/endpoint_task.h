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

/** Probes the endpoints of this data centre and keeps what was seen of each. Owns its connections, apart from those of jobs. */
class endpoint_task
{
public:
    endpoint_task(event_loop &loop, std::string dataCentre);
    endpoint_task(const endpoint_task &) = delete;
    endpoint_task &operator=(const endpoint_task &) = delete;
    ~endpoint_task() = default;

    /** Sets who is told of each good probe. */
    void onProbe(std::function<void(const std::string &host)> probed);

    void setTables(const std::shared_ptr<const tables> &published);

    /** What the probes saw of a host; empty for a host of another data centre. */
    endpoint_observation observation(const std::string &host) const;

    /** Counts this entry host's jobs in flight at a host. */
    void countInFlight(const std::string &host, int change);

    /** Notes that a host came to another pool, so that only later probes speak for it. */
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
