#pragma once

#include "entry/entry_settings.h"
#include "entry/job_task.h"
#include "transport/transport.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace parsleyglade {

/**
 * HTTP interface for callers. Authenticates each request by its bearer token, matches it against the published routes and submits it as a
 * job. Owns the HTTP listener.
 */
class caller_task
{
public:
    caller_task(event_loop &loop, const entry_settings &settings, job_task &jobs);
    caller_task(const caller_task &) = delete;
    caller_task &operator=(const caller_task &) = delete;
    ~caller_task() = default;

    /** Starts listening and returns the bound port. Fails when the address can't be bound. */
    outcome<std::uint16_t> start();

    /** Sets the tables in force. Until the first call, requests are rejected with not_configured. */
    void setTables(const std::shared_ptr<const tables> &published);

    /** Closes each connection after its next response, from now on. */
    void closeConnectionsAfterResponses();

    /** Stops accepting connections. Requests in flight still get their responses. */
    void stopAccepting();

    /** Whether every response has been sent to its caller and no connection is open. */
    bool isDrained() const;

    /** Returns the number of open connections of callers. */
    std::size_t connectionCount() const;

private:
    void handle(const std::shared_ptr<http_exchange> &exchange);
    void handleJobRequest(const std::shared_ptr<http_exchange> &exchange, const caller_settings &caller, const std::string &requestId);
    void submit(const std::shared_ptr<http_exchange> &exchange, const caller_settings &caller, const route &matchedRoute, const std::string &requestId);
    void refuse(const std::shared_ptr<http_exchange> &exchange, const caller_settings &caller, result_code code, const std::string &requestId);
    const caller_settings *authenticate(const http_request &request) const;
    std::string requestIdOf(const http_request &request);
    static outcome<std::optional<job_key>> readKey(const http_request &request, const route &matchedRoute);

    event_loop &m_loop;
    job_task &m_jobs;
    std::unordered_map<std::string, caller_settings> m_callers; /**< Keyed by the SHA-256 of the token. */
    std::unordered_map<caller_id, std::size_t> m_inFlight; /**< Number of requests of each caller that have no response yet. */
    std::shared_ptr<const tables> m_tables; /**< Null until the first configuration is in force. */
    std::mt19937_64 m_random{std::random_device{}()};
    http_server m_server;
};

} // namespace parsleyglade
