#include "entry/endpoint_task.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr duration probeTimeout = std::chrono::milliseconds{450};
constexpr int statusOk = 200;

endpoint_client_settings probeSettings()
{
    endpoint_client_settings settings;
    settings.maximumConnectionsPerEndpoint = 1;
    settings.maximumResponseBytes = 4096;
    return settings;
}

} // namespace

endpoint_task::endpoint_task(event_loop &loop, std::string dataCentre)
    : m_loop(loop)
    , m_dataCentre(std::move(dataCentre))
    , m_client(loop, probeSettings())
    , m_timer(loop.every(probeInterval, [this] { probeAll(); }))
{
}

void endpoint_task::onProbe(std::function<void(const std::string &)> probed)
{
    m_probed = std::move(probed);
}

void endpoint_task::setTables(const std::shared_ptr<const tables> &published)
{
    std::map<std::string, probed_endpoint> endpoints;
    for (const pool &entry : published->pools().pools()) {
        for (const pool_host &host : entry.hosts) {
            if (host.dataCentre != m_dataCentre) {
                continue;
            }
            const auto known = m_endpoints.find(host.host);
            probed_endpoint &endpoint = endpoints[host.host];
            endpoint.address = host.address;
            if (known == m_endpoints.end()) {
                continue;
            }

            // Observations of a former address do not apply to the new one, but the jobs in flight still belong to the host.
            const bool isSameAddress = known->second.address == host.address;
            endpoint.observation.inFlight = known->second.observation.inFlight;
            if (isSameAddress) {
                endpoint.observation = known->second.observation;
                endpoint.isProbing = known->second.isProbing;
            }
        }
    }

    m_endpoints = std::move(endpoints);
    probeAll();
}

endpoint_observation endpoint_task::observation(const std::string &host) const
{
    const auto found = m_endpoints.find(host);
    return found == m_endpoints.end() ? endpoint_observation{} : found->second.observation;
}

void endpoint_task::countInFlight(const std::string &host, int change)
{
    const auto found = m_endpoints.find(host);
    if (found != m_endpoints.end()) {
        found->second.observation.inFlight += static_cast<std::uint32_t>(change);
    }
}

void endpoint_task::recordPoolChange(const std::string &host)
{
    const auto found = m_endpoints.find(host);
    if (found != m_endpoints.end()) {
        found->second.observation.poolChangedAt = m_loop.now();
    }
}

void endpoint_task::probeAll()
{
    for (auto &[host, endpoint] : m_endpoints) {
        if (!endpoint.isProbing) {
            probe(host, endpoint);
        }
    }
}

void endpoint_task::probe(const std::string &host, probed_endpoint &endpoint)
{
    endpoint.isProbing = true;
    const http_request request{"GET", "/health", {}, {}, {}};
    m_client.call(endpoint.address, request, "probe", probeTimeout,
                  [this, host, address = endpoint.address, alive = std::weak_ptr<bool>(m_alive)](const call_result &result) {
                      if (alive.expired()) {
                          return;
                      }
                      const auto found = m_endpoints.find(host);
                      if (found != m_endpoints.end() && found->second.address == address) {
                          found->second.isProbing = false;
                          handleProbeResult(host, result);
                      }
                  });
}

void endpoint_task::handleProbeResult(const std::string &host, const call_result &result)
{
    if (result.progress != call_progress::responded || result.response.status != statusOk) {
        return;
    }

    const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
    const bool isValid
        = body.is_object() && body.contains("state") && body["state"].is_string() && body.contains("running") && body["running"].is_number_unsigned();
    if (!isValid) {
        m_logger.warning("ignored an invalid response to a health probe", {{"host", host}});
        return;
    }

    endpoint_observation &observation = m_endpoints.at(host).observation;
    const bool wasLeaving = observation.reportsLeaving;
    observation.lastSuccessfulProbe = m_loop.now();
    observation.reportsLeaving = body["state"] == "leaving";
    observation.running = body["running"].get<std::uint32_t>();
    if (observation.reportsLeaving != wasLeaving) {
        m_logger.info("endpoint state changed", {{"host", host}, {"state", body["state"].get<std::string>()}});
    }
    m_probed(host);
}

} // namespace parsleyglade
