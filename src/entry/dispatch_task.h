#pragma once

#include "entry/endpoint_task.h"
#include "entry/entry_settings.h"
#include "entry/fleet_task.h"
#include "entry/job.h"
#include "placement/placement.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace parsleyglade {

/** Queues jobs by pool, selects an endpoint of this data centre for each and sends them. Owns the connections that carry jobs to endpoints. */
class dispatch_task : public peer_task::listener
{
public:
    /** Receives events of jobs and decides whether a job may be sent. */
    class listener
    {
    public:
        virtual ~listener() = default;

        /** Called immediately before a job is sent. When it returns false the job is dropped, without further callbacks. */
        virtual bool mayStart(job &starting) = 0;

        /** Called when the request to the endpoint has ended, with or without a response. */
        virtual void sendEnded(const std::shared_ptr<job> &sent, const call_result &result) = 0;

        /** Called when a job is removed from the queue unsent because it can no longer complete by its deadline. */
        virtual void jobExpired(const std::shared_ptr<job> &dropped) = 0;
    };

    /** Status of one pool's queue and endpoints at this entry host. */
    struct pool_status
    {
        std::string pool;
        std::size_t queued = 0;
        std::size_t running = 0;
        std::size_t usableEndpoints = 0;
        std::size_t ejectedEndpoints = 0;
        duration expectedRun{}; /**< Mean run time of short jobs. */
        std::uint64_t arrivals = 0; /**< Jobs offered since the process started. */
    };

    dispatch_task(event_loop &loop, const entry_settings &settings, peer_task &peers, fleet_task &fleet, endpoint_task &endpoints, listener &owner);
    dispatch_task(const dispatch_task &) = delete;
    dispatch_task &operator=(const dispatch_task &) = delete;
    ~dispatch_task() override = default;

    /** Sets the tables in force. */
    void setTables(const std::shared_ptr<const tables> &published);

    /** Updates the endpoints from the fleet's memberships and the probes, then sends queued jobs. Also runs every 100 ms. */
    void refresh();

    /** Whether the pool has an endpoint in this data centre that accepts jobs. */
    bool hasEndpoint(const std::string &pool) const;

    /** Queues a job, or rejects it with a result code and a time after which to retry. An accepted job may be sent before the call returns. */
    admission_decision offer(const std::shared_ptr<job> &offered);

    /** Removes a job from its queue. Returns false when it is not queued. */
    bool cancelQueued(const job &cancelled);

    /** Asks the endpoint that runs a job to stop it, by a DELETE with the job's path and key. The response is ignored. */
    void requestStop(const job &running, duration timeout);

    /** Consumes one retry of the pool's retry budget. Returns false when the budget does not allow the job to be sent again. */
    bool tryRetry(const job &failed, attempt_evidence evidence);

    /** Returns a randomised delay after which a rejected caller may retry. */
    duration retryAfter();

    /** Returns this entry host's jobs in flight at each endpoint, for the heartbeat. */
    std::vector<wire::endpoint_load> loads() const;

    /** Returns the status of every pool, ordered by name. */
    std::vector<pool_status> status() const;

    void heartbeatReceived(const peer_state &peer) override;
    void peerReplaced(incarnation_id former) override;

private:
    struct pool_state
    {
        explicit pool_state(const admission_settings &limits)
            : queue(limits)
        {
        }

        pool published;
        admission_queue queue;
        run_time_estimator estimator;
        endpoint_ejector ejector;
        placement_policy policy;
        retry_budget retries;
        std::vector<endpoint_view> endpoints;
        std::uint64_t arrivals = 0;
    };

    struct running_job
    {
        std::shared_ptr<job> sent;
        std::string pool;
        std::string host;
        job_class jobClass = job_class::short_job;
        duration expected{};
        time_point startedAt{};
    };

    endpoint_limits limitsOf(const pool &published) const;
    void updateEndpoint(const host_membership &row);
    void removeMovedHosts(const std::map<std::string, std::string> &poolOfHost);
    job_class_set freeClasses(const pool_state &state) const;
    void dispatchQueuedJobs(pool_state &state);
    void start(pool_state &state, std::size_t index, const std::shared_ptr<job> &starting, job_class jobClass);
    void finish(std::uint64_t run, const call_result &result);
    void recordCallResult(pool_state &state, const running_job &ended, const call_result &result);
    void checkDeadlinesAndRunTimes();
    void reclassify(running_job &running);
    static endpoint_view *findEndpoint(pool_state &state, const std::string &host);

    event_loop &m_loop;
    peer_task &m_peers;
    fleet_task &m_fleet;
    endpoint_task &m_endpoints;
    listener &m_owner;
    std::string m_dataCentre;
    admission_settings m_admission;
    endpoint_client m_client;
    std::map<std::string, std::unique_ptr<pool_state>> m_pools;
    std::map<std::string, std::string> m_addresses; /**< Keyed by host. */
    std::map<std::uint64_t, std::shared_ptr<job>> m_queued;
    std::map<std::uint64_t, running_job> m_running;
    std::uint64_t m_nextRun = 1;
    std::mt19937_64 m_random{std::random_device{}()};
    retry_after_policy m_retryAfter;
    timer_subscription m_refreshTimer;
    timer_subscription m_checkTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace parsleyglade
