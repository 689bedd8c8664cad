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

/** The listener for operators, by docs/admin-interface.md: status, tables, publishing, drains, waves, health. Owns the listener. */
class admin_task
{
public:
    explicit admin_task(admin_context context);
    admin_task(const admin_task &) = delete;
    admin_task &operator=(const admin_task &) = delete;
    ~admin_task() = default;

    /** Listens. Fails when the address can't be bound. */
    outcome<std::uint16_t> start();

    /** Another revision is in force. */
    void tablesChanged();

    /** The fleet's state has changed. */
    void fleetChanged();

    /** Counts a job that has been answered. */
    void jobEnded(const job &ended, const job_outcome &outcome, duration elapsed);

    /** Answers a document request of another entry host. Returns whether the message was one. */
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

    // Drains and waves, in admin_fleet.cpp.
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
