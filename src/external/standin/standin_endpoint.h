#pragma once

#include "external/delayed_calls.h"
#include "external/standin/standin_endpoint_faults.h"
#include "external/standin/standin_endpoint_settings.h"
#include "external/standin/standin_server.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>

namespace parsleyglade {

/** Stand-in for a host that runs the jobs of a service. It waits for the run time instead of working, and counts the executions of each key. */
class standin_endpoint
{
public:
    /** Listens at IP:PORT. Throws std::runtime_error when it can't. @param loop Must outlive this object. @see standin_server */
    standin_endpoint(event_loop &loop, const std::string &address, standin_endpoint_settings settings);
    standin_endpoint(const standin_endpoint &) = delete;
    standin_endpoint &operator=(const standin_endpoint &) = delete;

    /** IP:PORT that the endpoint listens at. */
    const std::string &address() const;

    const standin_endpoint_faults &faults() const;
    /** Replaces the faults. Setting the fault hang to 0 ends the hung jobs and closes their connections. */
    void setFaults(const standin_endpoint_faults &faults);

    /** How often jobs with this idempotency key were started. */
    std::uint64_t executionCount(const std::string &key) const;

private:
    using exchange_pointer = std::shared_ptr<standin_exchange>;

    /** Kind of response to a job, as selected by the faults drawn for it. */
    enum class response_kind {
        complete,
        fail,
        hang,
        truncated,
        wrong_request_id,
        surplus,
        late,
    };

    void handleRequest(const exchange_pointer &exchange);
    void handleFaults(const exchange_pointer &exchange);
    void handleHealth(const exchange_pointer &exchange);
    void handleExecutions(const exchange_pointer &exchange);
    void handleJob(const exchange_pointer &exchange);
    void refuseJob(const exchange_pointer &exchange, const std::string &reason);
    void startQueuedJobs();
    void startJob(const exchange_pointer &exchange);
    void finishJob(const exchange_pointer &exchange, response_kind kind, std::uint64_t sequence);
    void respond(const exchange_pointer &exchange, response_kind kind, std::uint64_t sequence);
    response_kind drawResponseKind();
    bool drawFault(double probability);

    event_loop &m_loop;
    standin_endpoint_settings m_settings;
    standin_endpoint_faults m_faults;
    std::mt19937_64 m_random;
    std::deque<exchange_pointer> m_queue;
    std::list<exchange_pointer> m_hungJobs;
    std::size_t m_running = 0;
    std::map<std::string, std::uint64_t> m_executions;
    std::uint64_t m_received = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::size_t m_peakConnections = 0;
    time_point m_leavingSince;
    std::uint64_t m_receivedWhileLeaving = 0;
    std::vector<duration> m_receivedAfterLeaving; /**< Delay from the start of leaving to the receipt of each job, for at most maximumRecordedTimes jobs. */
    duration m_latestAfterLeaving{};
    delayed_calls m_calls;
    standin_server m_server;
};

} // namespace parsleyglade
