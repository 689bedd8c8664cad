#pragma once

#include "entry/admin_context.h"
#include "entry/document_gatherer.h"
#include "entry/refusal_counter.h"
#include "entry/service_report.h"
#include "transport/transport.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace parsleyglade {

/**
 * HTTP interface for operators, as described in docs/admin-interface.md: status, tables, publishing, drains, waves, health checks,
 * metrics and burn reports. Owns the HTTP listener.
 */
class admin_task
{
public:
    explicit admin_task(admin_context context);
    admin_task(const admin_task &) = delete;
    admin_task &operator=(const admin_task &) = delete;
    ~admin_task() = default;

    /** Starts listening and returns the bound port. Fails when the address can't be bound. */
    outcome<std::uint16_t> start();

    /** Called when another configuration revision has come into force. */
    void tablesChanged();

    /** Called when the fleet state has changed. */
    void fleetChanged();

    /** Counts a job whose outcome has been sent to its caller. @param elapsed time since the job's arrival */
    void jobEnded(const job &ended, const job_outcome &outcome, duration elapsed);

    /** Handles a document request of another entry host. Returns false, without a reply, for any other message. */
    bool serve(wire::peer_message &message, const peer_server::reply_function &reply);

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;
    using body_handler = void (admin_task::*)(const exchange_pointer &, const nlohmann::json &);

    void handle(const exchange_pointer &exchange);
    bool isAuthorized(const http_request &request) const;
    bool handleRead(const exchange_pointer &exchange);
    bool handleChange(const exchange_pointer &exchange);
    void withBody(const exchange_pointer &exchange, body_handler handler);

    void sendStatus(const exchange_pointer &exchange);
    void sendTables(const exchange_pointer &exchange);
    void sendBurn(const exchange_pointer &exchange);
    void publish(const exchange_pointer &exchange, const nlohmann::json &body);

    // Drains and waves; implemented in admin_fleet.cpp.
    void startDrain(const exchange_pointer &exchange, const nlohmann::json &body);
    void endDrain(const exchange_pointer &exchange, const std::string &id);
    void planWave(const exchange_pointer &exchange, const nlohmann::json &body);
    void changeWave(const exchange_pointer &exchange, const std::string &wave, const std::string &action);
    void appendWave(const exchange_pointer &exchange, const std::string &wave, const wire::fleet_record &record);

    std::vector<std::string> registeredEntryHosts() const;

    admin_context m_context;
    refusal_counter m_refusals;
    service_report m_report;
    http_server m_server;
};

} // namespace parsleyglade
