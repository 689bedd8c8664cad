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

/** Queues jobs for each pool, places them on the endpoints of this data centre and sends them. Owns the connections to endpoints. */
class dispatch_task : public peer_task::listener
{
public:
    /** Decides about jobs as they are sent. */
    class listener
    {
    public:
        virtual ~listener() = default;

        /** The job is about to be handed to a connection. When it returns false the job is not sent and not mentioned again. */
        virtual bool mayStart(job &starting) = 0;

        /** The call to the endpoint ended. */
        virtual void sendEnded(const std::shared_ptr<job> &sent, const call_result &result) = 0;

        /** The job left the queue unsent, as it can no longer be done by its deadline. */
        virtual void jobExpired(const std::shared_ptr<job> &dropped) = 0;
    };

    /** Figures of one pool's queue and endpoints. */
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

    void setTables(const std::shared_ptr<const tables> &published);

    /** Takes what the fleet and the probes say now; also called at an interval. */
    void refresh();

    /** Whether an endpoint of the pool in this data centre takes work. */
    bool hasEndpoint(const std::string &pool) const;

    /** Queues a job, or refuses it. */
    admission_verdict offer(const std::shared_ptr<job> &offered);

    /** Takes a job out of its queue; false when it is not queued. */
    bool cancelQueued(const job &cancelled);

    /** Asks the endpoint that runs a job to stop it: a DELETE with the job's path and key. Its answer changes nothing. */
    void requestStop(const job &running, duration limit);

    /** Whether the pool's retry budget allows the job to be sent again; if so, the retry is counted. */
    bool tryRetry(const job &failed, attempt_evidence evidence);

    /** A spread time after which a refused caller of the pool may retry. */
    duration retryAfter();

    /** This host's jobs in flight, for the heartbeat. */
    std::vector<wire::endpoint_load> loads() const;

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
    std::map<std::string, std::string> m_addresses; /**< By host. */
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
