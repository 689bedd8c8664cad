#pragma once

#include "deployment.h"
#include "entry_pool.h"
#include "event_queue.h"
#include "fake_endpoint.h"
#include "host_move_planner.h"
#include "run_result.h"
#include "workload_settings.h"

#include <memory>
#include <random>
#include <vector>

namespace parsleyglade {

/**
 * Discrete-event simulation of one workload: entry hosts run the real placement and admission code against simulated endpoints.
 *
 * All times are virtual, so equal arguments give equal results. The deployment, settings, choice and planner must outlive the object.
 */
class cluster_model
{
public:
    cluster_model(const deployment &model, const workload_settings &settings, const policy_choice &choice, host_move_planner &planner, std::uint64_t seed);
    cluster_model(const cluster_model &) = delete;
    cluster_model &operator=(const cluster_model &) = delete;

    /** Runs the simulation until every job has ended. Call it once. */
    run_result run();

private:
    struct entry_host
    {
        std::uint32_t dataCentre = 0;
        std::vector<std::unique_ptr<entry_pool>> pools; /**< By pool; null if the entry host doesn't serve the pool. */
        std::vector<std::uint32_t> peers; /**< The other entry hosts of the data centre. */
        std::vector<time_point> lastDelivery; /**< By peer: time of the latest delivery, so that reports arrive in the order in which they were sent. */
        std::vector<duration> delay; /**< By peer: current age of a load report on arrival. */
    };

    /** Load reports from one entry host to a peer. */
    struct load_message
    {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        std::vector<load_report> loads;
    };

    void makeEndpoints();
    void makeEntryHosts();
    void makeEntryPools(entry_host &host);
    void scheduleTicks();
    void handle(const model_event &event);
    std::optional<std::uint32_t> randomEntryHost(std::uint32_t pool, std::optional<std::uint32_t> excludedDataCentre);

    void handleArrival(std::uint32_t job);
    void route(std::uint32_t job);
    void admit(std::uint32_t job);
    void dispatch(std::uint32_t host, std::uint32_t pool);
    void deliver(std::uint32_t job, std::uint32_t endpoint);
    void startJob(std::uint32_t job, std::uint32_t endpoint);
    void completeJob(const model_event &event);
    void handleFailure(std::uint32_t job);
    void handleRefusal(std::uint32_t job);
    void retryOrEnd(std::uint32_t job, attempt_evidence evidence);
    void expireQueue(std::uint32_t host, std::uint32_t pool);
    void recordCompletion(const model_job &job);

    void sendLoads(std::uint32_t host);
    void receiveLoads(std::uint32_t message);
    void probe(std::uint32_t host);
    void startFault();
    void endFault(std::uint32_t endpoint);
    void loseJobs(fake_endpoint &endpoint);

    std::vector<pool_observation> observePools();
    void planMoves();
    void beginMove(const host_move &move);
    void scheduleJoinIfDrained(std::uint32_t endpoint);
    void joinTargetPool(std::uint32_t endpoint);
    void setMembership(std::uint32_t endpoint, std::uint32_t pool, bool isMember);

    const deployment &m_deployment;
    const workload_settings &m_settings;
    const policy_choice &m_choice;
    host_move_planner &m_planner;
    std::mt19937_64 m_random;
    std::mt19937_64 m_faultRandom; /**< Separate generator, so that every policy gets the same faults. */
    std::vector<model_job> m_jobs;
    std::vector<fake_endpoint> m_endpoints;
    std::vector<entry_host> m_hosts;
    std::vector<load_message> m_messages;
    std::vector<std::uint32_t> m_freeMessages; /**< Indices of m_messages that can be used again. */
    std::vector<std::size_t> m_arrivals; /**< By pool, since the previous call of the planner. */
    event_queue m_events;
    time_point m_now{};
    std::size_t m_openJobs = 0; /**< Jobs that have not ended. */
    run_result m_result;
};

} // namespace parsleyglade
