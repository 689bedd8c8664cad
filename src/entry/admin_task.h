#pragma once

#include "entry/caller_task.h"
#include "entry/claim_task.h"
#include "entry/configuration_task.h"
#include "entry/endpoint_task.h"
#include "entry/fleet_task.h"
#include "entry/job_task.h"
#include "entry/peer_task.h"
#include "transport/transport.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace parsleyglade {

/** The other tasks, which the operators' interface reads and commands. */
struct admin_context
{
    peer_task &peers;
    claim_task &claims;
    configuration_task &configuration;
    fleet_task &fleet;
    endpoint_task &endpoints;
    job_task &jobs;
    caller_task &callers;
    std::function<bool()> isReady;
};

/** The listener for operators: status, tables, publishing, drains, health. Owns the listener. */
class admin_task
{
public:
    admin_task(event_loop &loop, const entry_settings &settings, admin_context context);
    admin_task(const admin_task &) = delete;
    admin_task &operator=(const admin_task &) = delete;
    ~admin_task() = default;

    /** Listens. Fails when the address can't be bound. */
    outcome<std::uint16_t> start();

    /** Counts a job that has been answered. */
    void jobEnded(const job &ended, const job_outcome &outcome, duration elapsed);

    /** Answers a document request of another entry host. Returns whether the message was one. */
    bool serve(wire::peer_message &message, const peer_server::reply_function &reply);

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    void handle(const exchange_pointer &exchange);
    bool isAuthorized(const http_request &request) const;
    void handleStatus(const exchange_pointer &exchange);
    void handlePublish(const exchange_pointer &exchange);
    nlohmann::json ownStatus() const;

    event_loop &m_loop;
    const entry_settings &m_settings;
    admin_context m_context;
    http_server m_server;
};

} // namespace parsleyglade
