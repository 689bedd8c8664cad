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

/** The listener for callers: authenticates them, checks requests against the tables and turns them into jobs. Owns the listener. */
class caller_task
{
public:
    caller_task(event_loop &loop, const entry_settings &settings, job_task &jobs);
    caller_task(const caller_task &) = delete;
    caller_task &operator=(const caller_task &) = delete;
    ~caller_task() = default;

    /** Listens. Fails when the address can't be bound. */
    outcome<std::uint16_t> start();

    /** Takes over the tables in force. Until the first call requests are refused with not_configured. */
    void setTables(const std::shared_ptr<const tables> &published);

    /** From here on every answer ends its connection. */
    void endConnectionsAfterAnswers();

    /** Accepts no more connections; requests in flight are answered. */
    void stopAccepting();

    /** Whether every answer has reached its caller and no connection is open. */
    bool isDrained() const;

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
    std::unordered_map<std::string, caller_settings> m_callers; /**< By the SHA-256 of their tokens. */
    std::unordered_map<caller_id, std::size_t> m_inFlight; /**< Requests of each caller that wait for their answers. */
    std::shared_ptr<const tables> m_tables; /**< Null before the first configuration. */
    std::mt19937_64 m_random{std::random_device{}()};
    http_server m_server;
};

} // namespace parsleyglade
